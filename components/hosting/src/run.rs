//! A run on the host and its state.

use std::rc::Rc;

use model::{ProcessKey, Resources, RunId};

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for free resources.
    Waiting {
        /// When the order is rejected if the run has not started, in milliseconds.
        queue_deadline_ms: u64,
    },
    /// A start has been sent to the target.
    Starting {
        /// Number of the run.
        number: u32,
    },
    /// It runs at the target.
    Running {
        /// Number of the run.
        number: u32,
        /// When it started, in milliseconds.
        started_at_ms: u64,
        /// Last recorded progress, in percent.
        percent: u8,
        /// When that progress was recorded, in milliseconds.
        progress_at_ms: u64,
        /// Whether it has been reported as stalled.
        is_stalled: bool,
    },
    /// A stop has been sent to the target.
    Stopping {
        /// Number of the run.
        number: u32,
        /// When the stop is sent again, in milliseconds.
        retry_at_ms: u64,
        /// When the target first answered a stop, in milliseconds.
        answered_at_ms: Option<u64>,
        /// When it must have ended, in milliseconds, if its task may then start elsewhere.
        must_end_by_ms: Option<u64>,
    },
}

/// A run that an entry has ordered.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    /// Entry that ordered the run.
    pub(crate) owner: ProcessKey,
    pub(crate) specification: Rc<str>,
    pub(crate) needs: Resources,
    /// Expected run time on a target of normal speed, in milliseconds.
    pub(crate) estimate_ms: u32,
    /// Latest start for the answer of the job to be in time, in milliseconds.
    pub(crate) start_by_ms: u64,
    pub(crate) priority: u8,
    /// Whether other tasks of the job have started.
    pub(crate) has_started_tasks: bool,
    /// Whether a start was not answered, so that the target may still execute it.
    pub(crate) has_unanswered_start: bool,
    pub(crate) ordered_at_ms: u64,
    pub(crate) state: RunState,
}

impl Run {
    /// Returns the number of the run at the target, if a start was sent.
    pub(crate) fn number(&self) -> Option<u32> {
        match self.state {
            RunState::Waiting { .. } => None,
            RunState::Starting { number }
            | RunState::Running { number, .. }
            | RunState::Stopping { number, .. } => Some(number),
        }
    }

    /// Returns whether the run occupies resources of the target.
    pub(crate) fn occupies_resources(&self) -> bool {
        self.number().is_some()
    }

    /// Returns the remaining work in core milliseconds, at a speed in thousandths.
    pub(crate) fn remaining_work_core_ms(&self, speed_permille: u32) -> u64 {
        let remaining_percent = match self.state {
            RunState::Running { percent, .. } => u64::from(100 - percent.min(100)),
            RunState::Stopping { .. } => 0,
            RunState::Waiting { .. } | RunState::Starting { .. } => 100,
        };
        let work_ms =
            u64::from(self.estimate_ms) * remaining_percent * 10 / u64::from(speed_permille);
        u64::from(self.needs.cpu_millis) * work_ms / 1_000
    }
}
