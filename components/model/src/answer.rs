//! Final answers to a job.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr};

/// Final answer to a submission; a submission gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Every task ran; contains the results in task order.
    Complete(Vec<Bytes>),
    /// The job has no result.
    Failed(Failure),
}

/// Why a job has no result, and what is known about its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{kind}: {detail}")]
pub struct Failure {
    /// Whether tasks of the job ran.
    pub kind: FailureKind,
    /// Why the job failed.
    pub reason: FailureReason,
    /// Explanation for the client's operator.
    pub detail: String,
    /// Delay after which the client should submit again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Whether tasks of a failed job ran.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// No task of the job ran, and none will run under this submission.
    #[display("not run")]
    NotRun,
    /// At least one task ran or may have run.
    #[display("may have run")]
    MayHaveRun,
    /// No target can ever run the job; no task ran.
    #[display("cannot run")]
    CannotRun,
    /// A target ran a task and reported that it failed.
    #[display("ran and failed")]
    RanAndFailed,
}

/// Causes of a failed job.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The backlog is too large for the job to finish before its deadline.
    Overloaded,
    /// The firm has reached its quota or rate limit.
    OverQuota,
    /// The deadline passed.
    DeadlinePassed,
    /// The client cancelled the job.
    Cancelled,
    /// The shard changed owners and this submission predates the change.
    TakenOver,
    /// The submission is older than the retention time of job ids.
    TooOld,
    /// The submission time is in the future.
    ClockAhead,
    /// No owner of the shard can be reached.
    NoOwner,
    /// The owner cannot prove that it still owns the shard.
    NoAuthority,
    /// An agent that had tasks of the job is gone.
    AgentLost,
    /// The connection to a target broke while a task was in flight.
    TargetLost,
    /// A target reported a task as failed.
    TaskFailed,
    /// No target of the group accepts this kind of task.
    NoTarget,
    /// The id is in use for another body.
    Conflict,
    /// The process is stopping.
    Draining,
    /// The result has been dropped.
    ResultDropped,
}

impl Answer {
    /// Builds a failed answer without a retry delay.
    #[must_use]
    pub fn failed(kind: FailureKind, reason: FailureReason, detail: impl Into<String>) -> Self {
        Self::Failed(Failure {
            kind,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        })
    }

    /// Builds a refusal with the delay after which the client should retry, in milliseconds.
    #[must_use]
    pub fn refused(
        kind: FailureKind,
        reason: FailureReason,
        detail: impl Into<String>,
        retry_after_ms: u64,
    ) -> Self {
        Self::Failed(Failure {
            kind,
            reason,
            detail: detail.into(),
            retry_after_ms: Some(retry_after_ms),
        })
    }
}
