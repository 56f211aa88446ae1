//! Submits a job until there is an answer.

use std::time::Duration;

use errors::Result;
use web::{CallError, Method, Response};

use crate::answer::JobAnswer;
use crate::entry_client::{EntryClient, job_path, unreachable_error};
use crate::submission::Submission;

/// Number of resubmissions after a broken connection.
const MAX_RESUBMISSIONS: u32 = 8;

/// Pause before a resubmission, in milliseconds.
const RESUBMISSION_PAUSE_MS: u64 = 250;

/// How long after its deadline the answer to a job may still arrive, in milliseconds.
const ANSWER_GRACE_MS: u64 = 5_000;

/// Submits a job and returns the response to it.
///
/// After a broken connection the same submission goes to the next entry, which starts
/// nothing twice. After a refusal that says *not run*, a new one is made up to `retries`
/// times, as soon as the refusal allows and only before the deadline.
///
/// # Errors
///
/// Fails if no entry gives an answer.
pub(crate) async fn submit(
    client: &EntryClient,
    id: &str,
    submission: &mut Submission,
    mut retries: u32,
) -> Result<(Response, JobAnswer)> {
    loop {
        let response = submit_once(client, id, submission).await?;
        let answer = JobAnswer::parse(&response)?;
        let Some(pause) = answer.come_back_after() else {
            return Ok((response, answer));
        };
        let pause_ms = pause.as_millis() as u64;
        if retries == 0 || runtime::unix_ms() + pause_ms >= submission.deadline_unix_ms() {
            return Ok((response, answer));
        }
        retries -= 1;
        monoio::time::sleep(pause).await;
        submission.renew(runtime::unix_ms());
    }
}

async fn submit_once(client: &EntryClient, id: &str, submission: &Submission) -> Result<Response> {
    let path = job_path(id);
    let body = submission.body();
    let mut may_have_arrived = false;
    let mut resubmissions = 0;
    loop {
        let limit = time_for_answer(submission);
        let address = client.address();
        let error = match client.call(Method::PUT, &path, &body, limit).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        may_have_arrived |= matches!(error, CallError::Unknown(_));
        let late = runtime::unix_ms() >= submission.deadline_unix_ms() + ANSWER_GRACE_MS;
        if resubmissions == MAX_RESUBMISSIONS || late {
            let error = unreachable_error(address, &error);
            return Err(if may_have_arrived {
                error.with_remedy(resubmission_remedy(id, submission))
            } else {
                error
            });
        }
        resubmissions += 1;
        client.advance();
        monoio::time::sleep(Duration::from_millis(RESUBMISSION_PAUSE_MS)).await;
    }
}

fn time_for_answer(submission: &Submission) -> Duration {
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
