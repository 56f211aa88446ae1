//! What a caller is told.

use strum::{EnumIter, IntoStaticStr};

/// Why a job has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// No host of the queue's group can be reached.
    NoHosts,
    /// No host is large enough or has the label that a task needs.
    NoFittingHost,
    /// The work ahead leaves no hope of an answer in time.
    Overload,
    /// The entry holds as many jobs as it can.
    Full,
    /// The job has too many tasks.
    TooLarge,
    /// The time that the caller waits is over.
    TooLate,
}

/// The answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// No task has started, and none will.
    NotRun {
        /// Why.
        why: NotRunReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Tasks may have run; hosts were lost on the way.
    Lost,
    /// The caller's time is over; tasks may have run.
    Expired,
}

impl Verdict {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Lost => "lost",
            Self::Expired => "expired",
        }
    }
}
