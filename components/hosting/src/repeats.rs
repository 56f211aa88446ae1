//! When the start or the stop of a run is sent to the target again.
//!
//! Handles targets that leave one call in twenty unanswered, for which the first repeats must not
//! wait, and targets that reset, refuse or hang for seconds, for which attempts must stay few.

use runtime::Backoff;

use crate::limits::{
    LEASE_MS, MAX_START_PAUSE_MS, MAX_START_REPEATS, MAX_STOP_PAUSE_MS, MIN_START_PAUSE_MS,
    STEADY_STOPS, STOP_RETRY_MS, URGENT_STOP_RETRY_MS,
};

/// Repeats of one order for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Repeats {
    count: u32,
    backoff: Backoff,
}

impl Repeats {
    /// Returns the state before the first repeat of a start; `seed` is for the jitter.
    pub(crate) fn of_start(seed: u64) -> Self {
        let backoff = Backoff::builder(MIN_START_PAUSE_MS, MAX_START_PAUSE_MS);
        Self {
            count: 0,
            backoff: backoff.seed(seed).build(),
        }
    }

    /// Returns the state before a stop is sent for the first time; `seed` is for the jitter.
    pub(crate) fn of_stop(seed: u64) -> Self {
        let backoff = Backoff::builder(STOP_RETRY_MS, MAX_STOP_PAUSE_MS);
        Self {
            count: 0,
            backoff: backoff.seed(seed).build(),
        }
    }

    /// Returns when a start that failed is sent again, the first `immediate` times at once; `None`
    /// after [`MAX_START_REPEATS`].
    pub(crate) fn next_start_ms(&mut self, now_ms: u64, immediate: u32) -> Option<u64> {
        if self.count >= MAX_START_REPEATS {
            return None;
        }
        self.count += 1;
        if self.count <= immediate {
            return Some(now_ms);
        }
        Some(self.backoff.record_failure(now_ms))
    }

    /// Returns when a stop that is sent now is sent again. If its run must end by a given time, the pauses
    /// do not grow before the lease that is not renewed afterwards has expired.
    pub(crate) fn next_stop_ms(&mut self, now_ms: u64, must_end_by_ms: Option<u64>) -> u64 {
        if must_end_by_ms.is_some_and(|by_ms| now_ms < by_ms + LEASE_MS) {
            return now_ms + URGENT_STOP_RETRY_MS;
        }
        self.count = self.count.saturating_add(1);
        if self.count <= STEADY_STOPS {
            return now_ms + STOP_RETRY_MS;
        }
        self.backoff.record_failure(now_ms)
    }
}
