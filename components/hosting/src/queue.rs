//! The order in which waiting tasks start.
//!
//! Answers the pattern of more tasks than room at one host: what has to start first comes first,
//! so that quick checks pass long plans that can wait, and a plan that has waited is not passed
//! for ever. Tasks that are too late to be in time come after those that are not.

use crate::run::Run;

/// Position of a waiting task; the lowest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    is_late: bool,
    start_by_ms: u64,
    priority: u8,
}

impl Turn {
    /// Returns the position of a task.
    pub(crate) fn of(run: &Run, now_ms: u64) -> Self {
        Self {
            is_late: run.start_by_ms < now_ms,
            start_by_ms: run.start_by_ms,
            priority: run.priority,
        }
    }
}
