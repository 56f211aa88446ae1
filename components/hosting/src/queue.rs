//! The order in which waiting tasks start.
//!
//! It matters when a host has more tasks than resources. The criteria, the strongest first:
//!
//! 1. Tasks of jobs of which other tasks have started: a job with a task missing is worth nothing.
//! 2. Tasks that can still finish in time.
//! 3. Tasks of the most urgent class.
//! 4. The earliest latest start: small jobs overtake long plans that can wait, and a plan that
//!    has waited is not overtaken forever.
//! 5. The more urgent class.
//!
//! In addition, `Host::start_waiting` starts a small task that is not of the most urgent class only
//! if resources for another of its size remain, unless its latest start is close: an urgent job of
//! many tasks is as late as the last of them.

use model::MOST_URGENT;

use crate::run::Run;

/// Position of a waiting task; the lowest starts first, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    is_job_unstarted: bool,
    is_late: bool,
    is_deferrable: bool,
    start_by_ms: u64,
    priority: u8,
}

impl QueuePosition {
    /// Returns the position of a waiting run.
    pub(crate) fn new(run: &Run, now_ms: u64) -> Self {
        Self {
            is_job_unstarted: !run.has_started_tasks,
            is_late: run.start_by_ms < now_ms,
            is_deferrable: run.priority != MOST_URGENT,
            start_by_ms: run.start_by_ms,
            priority: run.priority,
        }
    }
}
