//! A run at the host.

use std::rc::Rc;

use model::{ProcessKey, Resources, RunId};

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for room.
    Waiting {
        /// When the order is given back, in milliseconds.
        give_up_at_ms: u64,
    },
    /// The target has been told to start it.
    Starting {
        /// Number of the run.
        number: u32,
    },
    /// The target runs it.
    Running {
        /// Number of the run.
        number: u32,
        /// When it started, in milliseconds.
        started_at_ms: u64,
        /// Last reported progress.
        percent: u8,
        /// When the progress last changed, in milliseconds.
        progress_at_ms: u64,
        /// Whether it has been reported as stalled.
        is_stalled: bool,
    },
    /// The target has been told to stop it.
    Stopping {
        /// Number of the run.
        number: u32,
        /// When the stop is sent again, in milliseconds.
        retry_at_ms: u64,
        /// When the target first answered a stop, in milliseconds.
        answered_at_ms: Option<u64>,
        /// Until when it has to be over, in milliseconds, if another run may start elsewhere.
        must_end_by_ms: Option<u64>,
    },
}

/// A run that the host has been asked for.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    pub(crate) owner: ProcessKey,
    pub(crate) specification: Rc<str>,
    pub(crate) needs: Resources,
    pub(crate) estimate_ms: u32,
    pub(crate) start_by_ms: u64,
    pub(crate) priority: u8,
    pub(crate) is_begun: bool,
    /// Whether a start was left unanswered and may still be carried out.
    pub(crate) is_doubtful: bool,
    pub(crate) ordered_at_ms: u64,
    pub(crate) state: RunState,
}

impl Run {
    /// Returns the number under which the target knows the run.
    pub(crate) fn number(&self) -> Option<u32> {
        match self.state {
            RunState::Waiting { .. } => None,
            RunState::Starting { number }
            | RunState::Running { number, .. }
            | RunState::Stopping { number, .. } => Some(number),
        }
    }

    /// Tells whether the run takes up room.
    pub(crate) fn occupies(&self) -> bool {
        self.number().is_some()
    }

    /// Returns the work ahead, in core milliseconds at a speed in thousandths.
    pub(crate) fn work_ahead_core_ms(&self, speed_permille: u32) -> u64 {
        let left_percent = match self.state {
            RunState::Running { percent, .. } => u64::from(100 - percent.min(100)),
            RunState::Stopping { .. } => 0,
            RunState::Waiting { .. } | RunState::Starting { .. } => 100,
        };
        let work_ms = u64::from(self.estimate_ms) * left_percent * 10 / u64::from(speed_permille);
        u64::from(self.needs.cpu_millis) * work_ms / 1_000
    }
}
