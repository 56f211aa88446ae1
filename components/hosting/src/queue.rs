//! The order in which waiting tasks start.
//!
//! Answers the pattern of more tasks than room at one host: the most urgent class comes first;
//! among the others what has to start first comes first, so that small jobs pass long plans that
//! can wait, and a plan that has waited is not passed for ever. Tasks that are too late to be in
//! time come after those that are not. What is begun is finished before all else, since a job
//! with a task missing is worth nothing. A task that can wait leaves room for one more, since a
//! wide urgent job is as late as the last of its tasks (`Host::start_waiting`).

use model::MOST_URGENT;

use crate::run::Run;

/// Position of a waiting task; the lowest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    is_new: bool,
    is_late: bool,
    yields: bool,
    start_by_ms: u64,
    priority: u8,
}

impl Turn {
    /// Returns the position of a task.
    pub(crate) fn of(run: &Run, now_ms: u64) -> Self {
        Self {
            is_new: !run.is_begun,
            is_late: run.start_by_ms < now_ms,
            yields: run.priority != MOST_URGENT,
            start_by_ms: run.start_by_ms,
            priority: run.priority,
        }
    }
}
