//! Parsing of submitted jobs.

use std::borrow::Cow;

use bytes::Bytes;
use derive_more::{Display, Error};
use model::{FirmKey, GroupKey, JobKey, JobMeta, JobSpec, KindKey, TaskSpec};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::digest::BodyDigest;
use crate::name::{NameError, check_name};

/// Bounds of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest payload of one task, in bytes.
    pub payload_bytes: usize,
    /// Largest number of tasks.
    pub task_count: u16,
    /// Longest time from the submission to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time from the submission to the deadline if the body names none, in milliseconds.
    pub default_deadline_ms: u64,
}

impl Default for SubmissionLimits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            payload_bytes: 1024 * 1024,
            task_count: 4_096,
            default_deadline_ms: 10_000,
            deadline_ms: u64::MAX,
        }
    }
}

/// Why a submission is refused before it becomes a job.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body is larger than the limit.
    #[display("body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body is not JSON of the expected form.
    #[display("body is malformed: {detail}")]
    Malformed {
        /// What the parser found.
        detail: String,
    },
    /// A name is not allowed.
    #[display("{field} {cause}")]
    BadName {
        /// What the name is for.
        field: &'static str,
        /// Why it is refused.
        #[error(source)]
        cause: NameError,
    },
    /// The job has no task.
    #[display("job has no task")]
    NoTask,
    /// The job has too many tasks.
    #[display("job has more than {limit} tasks")]
    TooManyTasks {
        /// The limit.
        limit: u16,
    },
    /// The payload of a task is larger than the limit.
    #[display("payload of task {index} is larger than {limit_bytes} bytes")]
    PayloadTooLarge {
        /// Position of the task.
        index: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// The deadline is not after the submission time.
    #[display("deadline is not after the submission time")]
    DeadlineBeforeSubmission,
    /// The deadline is too long after the submission time.
    #[display("deadline is more than {limit_ms} ms after the submission time")]
    DeadlineTooFar {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body<'a> {
    #[serde(borrow)]
    group: Cow<'a, str>,
    submitted_unix_ms: u64,
    deadline_unix_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
    #[serde(borrow)]
    tasks: Vec<Task<'a>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Task<'a> {
    #[serde(borrow)]
    kind: Cow<'a, str>,
    declared_ms: u64,
    #[serde(borrow)]
    payload: &'a RawValue,
}

/// Parses the JSON body that a firm submitted under an id.
///
/// Payloads are kept byte for byte. A job is not repeatable unless the body says so. The
/// digest of the body covers everything but the submission time.
///
/// # Errors
///
/// Fails if the id or the body is malformed, has unknown fields, or exceeds a limit.
pub fn parse_submission(
    firm: FirmKey,
    id: &str,
    body: &[u8],
    limits: &SubmissionLimits,
) -> Result<JobSpec, SubmissionError> {
    check_field("id", id)?;
    if body.len() > limits.body_bytes {
        let limit_bytes = limits.body_bytes;
        return Err(SubmissionError::BodyTooLarge { limit_bytes });
    }
    let body: Body<'_> = serde_json::from_slice(body).map_err(|error| malformed(&error))?;
    check_body(&body, limits)?;
    Ok(JobSpec {
        meta: JobMeta {
            key: JobKey::new(firm, id),
            id: id.to_owned(),
            group: GroupKey::from_name(&body.group),
            body_digest: digest(&body),
            submitted_unix_ms: body.submitted_unix_ms,
            deadline_unix_ms: deadline_unix_ms(&body, limits),
            repeatable: body.repeatable,
            task_count: body.tasks.len() as u16,
        },
        tasks: body.tasks.iter().map(task_spec).collect(),
    })
}

fn malformed(error: &serde_json::Error) -> SubmissionError {
    SubmissionError::Malformed {
        detail: error.to_string(),
    }
}

fn check_field(field: &'static str, name: &str) -> Result<(), SubmissionError> {
    check_name(name).map_err(|cause| SubmissionError::BadName { field, cause })
}

fn check_body(body: &Body<'_>, limits: &SubmissionLimits) -> Result<(), SubmissionError> {
    check_field("group", &body.group)?;
    if deadline_unix_ms(body, limits) <= body.submitted_unix_ms {
        return Err(SubmissionError::DeadlineBeforeSubmission);
    }
    if deadline_unix_ms(body, limits) - body.submitted_unix_ms > limits.deadline_ms {
        let limit_ms = limits.deadline_ms;
        return Err(SubmissionError::DeadlineTooFar { limit_ms });
    }
    if body.tasks.is_empty() {
        return Err(SubmissionError::NoTask);
    }
    if body.tasks.len() > usize::from(limits.task_count) {
        let limit = limits.task_count;
        return Err(SubmissionError::TooManyTasks { limit });
    }
    for (index, task) in body.tasks.iter().enumerate() {
        check_task(index, task, limits)?;
    }
    Ok(())
}

fn check_task(
    index: usize,
    task: &Task<'_>,
    limits: &SubmissionLimits,
) -> Result<(), SubmissionError> {
    check_field("kind", &task.kind)?;
    let limit_bytes = limits.payload_bytes;
    if task.payload.get().len() > limit_bytes {
        return Err(SubmissionError::PayloadTooLarge { index, limit_bytes });
    }
    Ok(())
}

fn deadline_unix_ms(body: &Body<'_>, limits: &SubmissionLimits) -> u64 {
    let default = body
        .submitted_unix_ms
        .saturating_add(limits.default_deadline_ms);
    body.deadline_unix_ms.unwrap_or(default)
}

fn task_spec(task: &Task<'_>) -> TaskSpec {
    TaskSpec {
        kind: KindKey::from_name(&task.kind),
        declared_us: task.declared_ms.saturating_mul(1_000),
        payload: Bytes::copy_from_slice(task.payload.get().as_bytes()),
    }
}

fn digest(body: &Body<'_>) -> u128 {
    let mut digest = BodyDigest::new();
    digest.bytes(body.group.as_bytes());
    // The default may change between two copies; they are of one submission all the same.
    digest.number(body.deadline_unix_ms.unwrap_or(0));
    digest.number(u64::from(body.repeatable));
    digest.number(body.tasks.len() as u64);
    for task in &body.tasks {
        digest.bytes(task.kind.as_bytes());
        digest.number(task.declared_ms);
        digest.bytes(task.payload.get().as_bytes());
    }
    digest.finish()
}
