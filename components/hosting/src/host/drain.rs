//! Graceful shutdown of the agent.
//!
//! A host is out of reach while its agent is replaced, and many agents may be stopped at once under a
//! burst. A stop waits for the longest run at the target, so that the host would stand idle more and
//! more. The agent goes on taking tasks that are expected to end before that run.

use model::{NotStartedReason, TaskRef};

use super::Host;
use crate::action::TargetCall;
use crate::session::Availability;

/// Longest time in which a stopping agent still takes tasks, in milliseconds; a run that takes longer
/// than expected must also end before the platform kills the process.
const MAX_OPEN_MS: u64 = 3_000;

/// Remaining time from which on entries send no more tasks, in milliseconds: a short run and the round
/// trip of its order.
const MIN_OPEN_MS: u64 = 50;

impl Host {
    /// Begins the graceful shutdown: from now on only tasks are run that are expected to end before
    /// the agent closes.
    pub fn drain(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        let speed_permille = self.speed.permille(now_ms);
        let runs = self.runs.values();
        let last_end_ms = runs
            .filter_map(|run| run.expected_end_ms(now_ms, speed_permille))
            .max();
        let closes_at_ms = last_end_ms.unwrap_or(now_ms).min(now_ms + MAX_OPEN_MS);
        self.closes_at_ms.get_or_insert(closes_at_ms);
        self.tick(now_ms, actions);
        self.turn_back_waiting(now_ms);
    }

    /// Closes the host if nothing is waiting or at the target, and returns whether that is so. An
    /// order that arrives later is rejected, so that no run is cut when the process ends.
    pub fn close_if_idle(&mut self, now_ms: u64) -> bool {
        if self.is_idle() {
            self.closes_at_ms = Some(now_ms);
        }
        self.is_idle()
    }

    /// Returns whether the agent shuts down and takes no more tasks.
    pub(super) fn is_closed(&self, now_ms: u64) -> bool {
        self.closes_at_ms
            .is_some_and(|closes_at_ms| closes_at_ms < now_ms + MIN_OPEN_MS)
    }

    pub(super) fn availability(&self, now_ms: u64) -> Availability {
        Availability {
            is_open: self.is_open(now_ms),
            closes_at_ms: self.closes_at_ms,
        }
    }

    /// Returns the time until the agent closes, in milliseconds, if it shuts down.
    pub(super) fn closes_in_ms(&self, now_ms: u64) -> Option<u32> {
        let closes_at_ms = self.closes_at_ms?;
        u32::try_from(closes_at_ms.saturating_sub(now_ms)).ok()
    }

    /// Returns whether a task with this expected run time can end before the agent closes.
    pub(super) fn can_end(&self, now_ms: u64, estimate_ms: u32) -> bool {
        !self.is_closed(now_ms) && now_ms <= self.latest_start_ms(now_ms, estimate_ms)
    }

    /// Returns the latest start for a task to end before the agent closes, in milliseconds.
    pub(super) fn latest_start_ms(&self, now_ms: u64, estimate_ms: u32) -> u64 {
        let speed_permille = u64::from(self.speed.permille(now_ms).max(1));
        let run_ms = u64::from(estimate_ms) * 1_000 / speed_permille;
        self.closes_at_ms
            .map_or(u64::MAX, |closes_at_ms| closes_at_ms.saturating_sub(run_ms))
    }

    /// Rejects the waiting tasks that cannot end before the agent closes.
    pub(super) fn reject_unfinished(&mut self, now_ms: u64) {
        if self.closes_at_ms.is_none() {
            return;
        }
        let waiting = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies_resources());
        let unfinished: Vec<TaskRef> = waiting
            .filter(|(_, run)| !self.can_end(now_ms, run.estimate_ms))
            .map(|(task, _)| *task)
            .collect();
        for task in unfinished {
            self.reject(task, NotStartedReason::Draining);
        }
    }
}
