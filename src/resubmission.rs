//! Submits a job, with retries after broken connections and refusals.

use std::time::Duration;

use errors::Result;
use web::{CallError, Method, Response};

use crate::answer::JobAnswer;
use crate::entry_client::{EntryClient, job_path, unreachable_error};
use crate::submission::Submission;

/// Maximum number of resubmissions after broken connections.
const MAX_RESUBMISSIONS: u32 = 8;

/// Delay before a resubmission.
const RESUBMISSION_DELAY_MS: u64 = 250;

/// Time after its deadline for which the answer to a job is still awaited.
const ANSWER_GRACE_MS: u64 = 5_000;

/// Submits a job and returns the response to it.
///
/// After a broken connection the same submission is sent to the next entry; it is idempotent, so
/// no task starts twice. After a failure of kind *not run*, a new submission is made after the
/// delay given in the answer, up to `retries` times and only before the deadline.
///
/// # Errors
///
/// Fails if no entry responds, or the response does not describe a job.
pub(crate) async fn submit(
    client: &EntryClient,
    id: &str,
    submission: &mut Submission,
    mut retries: u32,
) -> Result<(Response, JobAnswer)> {
    loop {
        let response = submit_once(client, id, submission).await?;
        let answer = JobAnswer::parse(&response)?;
        let Some(delay) = answer.retry_after() else {
            return Ok((response, answer));
        };
        let delay_ms = delay.as_millis() as u64;
        if retries == 0 || runtime::unix_ms() + delay_ms >= submission.deadline_unix_ms() {
            return Ok((response, answer));
        }
        retries -= 1;
        monoio::time::sleep(delay).await;
        submission.renew(runtime::unix_ms());
    }
}

async fn submit_once(client: &EntryClient, id: &str, submission: &Submission) -> Result<Response> {
    let path = job_path(id);
    let body = submission.body();
    let mut may_have_arrived = false;
    let mut resubmissions = 0;
    loop {
        let timeout = answer_timeout(submission);
        let address = client.address();
        let error = match client.call(Method::PUT, &path, &body, timeout).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        may_have_arrived |= matches!(error, CallError::Unknown(_));
        let is_late = runtime::unix_ms() >= submission.deadline_unix_ms() + ANSWER_GRACE_MS;
        if resubmissions == MAX_RESUBMISSIONS || is_late {
            let error = unreachable_error(address, &error);
            return Err(if may_have_arrived {
                error.with_remedy(resubmission_remedy(id, submission))
            } else {
                error
            });
        }
        resubmissions += 1;
        client.switch_address();
        monoio::time::sleep(Duration::from_millis(RESUBMISSION_DELAY_MS)).await;
    }
}

fn answer_timeout(submission: &Submission) -> Duration {
    let until_unix_ms = submission.deadline_unix_ms() + ANSWER_GRACE_MS;
    Duration::from_millis(until_unix_ms.saturating_sub(runtime::unix_ms()).max(1))
}

fn resubmission_remedy(id: &str, submission: &Submission) -> String {
    format!(
        "the job may have run: submit it again with `--id {id}` and, in the file, \
         \"submitted_unix_ms\": {}, \"deadline_unix_ms\": {}",
        submission.submitted_unix_ms(),
        submission.deadline_unix_ms()
    )
}
