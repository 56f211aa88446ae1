//! Answers to jobs.

use strum::{EnumIter, IntoStaticStr};

/// Reason why no task of a job has run or will run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// No host of the queue's group is usable.
    NoHosts,
    /// For some task, no host has the capacity and label and is below the step's `max_per_host`.
    NoFittingHost,
    /// The backlog is too long for an answer in time.
    Overload,
    /// The entry has its maximum number of jobs in progress.
    Full,
    /// The job has too many tasks, or none.
    TooLarge,
    /// The caller has stopped waiting.
    TooLate,
    /// The entry shuts down before the job could start.
    ShuttingDown,
}

impl NotRunReason {
    /// Returns whether the job might be served once more hosts are in view.
    pub(crate) fn depends_on_hosts(self) -> bool {
        matches!(self, Self::NoHosts | Self::NoFittingHost | Self::Overload)
    }
}

/// State of a job that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// It is in progress, and no task has started.
    Queued,
    /// It is in progress.
    Running,
    /// All tasks are done.
    Completed,
    /// It has failed.
    Failed,
    /// A caller has cancelled it.
    Cancelled,
}

/// The answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows, or is malformed.
    Failed,
    /// A caller has cancelled the job; tasks may have run.
    Cancelled,
    /// No task has started, and none will.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome is unknown: tasks may have run on hosts that were lost, or before the entry was
    /// suspended.
    Lost,
    /// The deadline has passed, or the job was withdrawn; tasks may have run.
    Expired,
}

impl Verdict {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::NotRun { .. } => "not_run",
            Self::Lost => "lost",
            Self::Expired => "expired",
        }
    }
}
