//! Parsing and validation of submitted jobs.

use std::borrow::Cow;

use bytes::Bytes;
use derive_more::{Display, Error};
use model::{FirmKey, GroupKey, JobKey, JobMeta, JobSpec, KindKey, TaskSpec};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::digest::BodyHasher;
use crate::name::{NameError, check_name};

/// Limits for a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionLimits {
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the payload of one task, in bytes.
    pub payload_bytes: usize,
    /// Maximum number of tasks in a job.
    pub task_count: u16,
    /// Maximum time from the submission to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time from the submission to the deadline if the body specifies no deadline, in
    /// milliseconds.
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

/// Reason why a submission is rejected before a job is created.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body is larger than the limit.
    #[display("body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body is not valid JSON or does not match the schema.
    #[display("body is malformed: {detail}")]
    Malformed {
        /// Message of the parser.
        detail: String,
    },
    /// A name or the job ID is invalid.
    #[display("{field} {cause}")]
    BadName {
        /// Field that holds the name.
        field: &'static str,
        /// Reason why the name is invalid.
        #[error(source)]
        cause: NameError,
    },
    /// The job has no task.
    #[display("job has no task")]
    NoTask,
    /// The job has more tasks than the limit.
    #[display("job has more than {limit} tasks")]
    TooManyTasks {
        /// The limit.
        limit: u16,
    },
    /// The payload of a task is larger than the limit.
    #[display("payload of task {index} is larger than {limit_bytes} bytes")]
    PayloadTooLarge {
        /// Index of the task in the job, from zero.
        index: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// The deadline is not after the submission time.
    #[display("deadline is not after the submission time")]
    DeadlineBeforeSubmission,
    /// The deadline is too far after the submission time.
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

/// Parses the JSON body that a firm submitted under a job ID.
///
/// Payloads are preserved byte for byte. A job is repeatable only if the body sets the flag.
/// The body digest covers all fields except the submission time.
///
/// # Errors
///
/// Fails if the ID or the body is malformed, the body has unknown fields, or a limit is exceeded.
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
    let body: Body<'_> = serde_json::from_slice(body).map_err(|error| malformed_error(&error))?;
    check_body(&body, limits)?;
    Ok(JobSpec {
        meta: JobMeta {
            key: JobKey::new(firm, id),
            id: id.to_owned(),
            group: GroupKey::from_name(&body.group),
            body_digest: body_digest(&body),
            submitted_unix_ms: body.submitted_unix_ms,
            deadline_unix_ms: deadline_unix_ms(&body, limits),
            repeatable: body.repeatable,
            task_count: body.tasks.len() as u16,
        },
        tasks: body.tasks.iter().map(task_spec).collect(),
    })
}

fn malformed_error(error: &serde_json::Error) -> SubmissionError {
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

fn body_digest(body: &Body<'_>) -> u128 {
    let mut hasher = BodyHasher::new();
    hasher.update_bytes(body.group.as_bytes());
    // Excludes the default deadline: it may change between two copies of the same submission.
    hasher.update_u64(body.deadline_unix_ms.unwrap_or(0));
    hasher.update_u64(u64::from(body.repeatable));
    hasher.update_u64(body.tasks.len() as u64);
    for task in &body.tasks {
        hasher.update_bytes(task.kind.as_bytes());
        hasher.update_u64(task.declared_ms);
        hasher.update_bytes(task.payload.get().as_bytes());
    }
    hasher.finish()
}
