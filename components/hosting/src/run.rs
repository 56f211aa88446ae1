//! A run on the host and its state.

use std::rc::Rc;

use interference::Start;
use model::{KindKey, ProcessKey, Resources, RunEnd, RunId};
use run_times::SpeedSample;

use crate::limits::STOP_MS;
use crate::repeats::Repeats;

/// Progress from which on the end of a run is extrapolated from it; declared run times are off by
/// more.
const MIN_PROGRESS_PERCENT: u8 = 20;

/// Divisor of the time since the start of a run that gives its least remaining time: a run that
/// exceeds its expected time is likely to exceed it by far.
const OVERDUE_DIVISOR: u64 = 8;

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
        /// When the start is sent again, in milliseconds; `None` while a call is in progress.
        repeat_at_ms: Option<u64>,
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
        /// When the target first accepted a stop, in milliseconds.
        accepted_at_ms: Option<u64>,
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
    /// Standard deviation of the logarithm of the expected run time.
    pub(crate) log_deviation: f64,
    /// Weight of the samples of the target's speed that the run has yielded; one at most.
    pub(crate) sampled_weight: f64,
    /// Latest start for the task to end by the response time objective of its job, in milliseconds.
    pub(crate) start_by_ms: u64,
    pub(crate) priority: u8,
    /// Whether any task of the job has started before, this one included.
    pub(crate) has_started_tasks: bool,
    /// Whether a copy of the start had no conclusive answer, so that the target may have executed it or
    /// may still do so.
    pub(crate) may_have_arrived: bool,
    /// Whether a copy of the start timed out, so that a later incarnation of the target may still execute
    /// it.
    pub(crate) has_unanswered_start: bool,
    /// How the run is reported unless it ends by itself, after the incarnation of the target that it
    /// was started at has ended.
    pub(crate) crash_end: Option<RunEnd>,
    /// Repeats of the start, or of the stop once one was sent.
    pub(crate) repeats: Repeats,
    pub(crate) ordered_at_ms: u64,
    pub(crate) kind: KindKey,
    /// Whether the target is away from the data of the task.
    pub(crate) is_data_remote: bool,
    /// Whether other runs used more than half of the cores when the run started.
    pub(crate) was_host_busy: bool,
    /// What the exposure to other kinds is counted from, if it is.
    pub(crate) exposure_start: Option<Start>,
    pub(crate) state: RunState,
}

impl Run {
    /// Returns the number of the run at the target, if a start was sent; it differs from the
    /// attempt in [`RunId`], which the entry counts.
    pub(crate) fn number(&self) -> Option<u32> {
        match self.state {
            RunState::Waiting { .. } => None,
            RunState::Starting { number, .. }
            | RunState::Running { number, .. }
            | RunState::Stopping { number, .. } => Some(number),
        }
    }

    /// Returns whether the run occupies resources of the target.
    pub(crate) fn occupies_resources(&self) -> bool {
        self.number().is_some()
    }

    /// Returns the time at which the run is expected to leave the target, in milliseconds, if it
    /// is there; `speed_permille` is the target's speed in thousandths.
    pub(crate) fn expected_end_ms(&self, now_ms: u64, speed_permille: u32) -> Option<u64> {
        let whole_ms = u64::from(self.estimate_ms) * 1_000 / u64::from(speed_permille.max(1));
        match self.state {
            RunState::Waiting { .. } => None,
            RunState::Starting { .. } => Some(now_ms + whole_ms),
            RunState::Running {
                percent,
                started_at_ms,
                progress_at_ms,
                ..
            } => {
                let end_ms = if percent >= MIN_PROGRESS_PERCENT {
                    let elapsed_ms = progress_at_ms - started_at_ms;
                    started_at_ms + elapsed_ms * 100 / u64::from(percent)
                } else {
                    started_at_ms + whole_ms
                };
                let elapsed_ms = now_ms.saturating_sub(started_at_ms);
                Some(end_ms.max(now_ms + elapsed_ms / OVERDUE_DIVISOR))
            }
            RunState::Stopping { .. } => Some(now_ms + STOP_MS),
        }
    }

    /// Returns when the run must have ended, if it is being stopped because its task may then start
    /// elsewhere, in milliseconds.
    pub(crate) fn must_end_by_ms(&self) -> Option<u64> {
        match self.state {
            RunState::Stopping { must_end_by_ms, .. } => must_end_by_ms,
            _ => None,
        }
    }

    /// Returns the sample of the target's speed that a part of the run yields, and counts its weight.
    ///
    /// `done_share` is the part of the run's work that was done in `elapsed_ms`.
    pub(crate) fn sample_speed(&mut self, done_share: f64, elapsed_ms: f64) -> SpeedSample {
        let estimate_ms = f64::from(self.estimate_ms);
        let observed_share = done_share.max(elapsed_ms / estimate_ms);
        let weight = observed_share.min(1.0 - self.sampled_weight);
        self.sampled_weight += weight;
        SpeedSample {
            expected_ms: estimate_ms * done_share,
            elapsed_ms,
            weight,
            log_deviation: self.log_deviation,
        }
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
