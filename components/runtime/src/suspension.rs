//! Detection of suspensions of the process.

use std::cell::Cell;

/// Notices that the process was suspended, and which requests were sent before.
///
/// Callers of a suspended process may have sent their requests to other processes by the time it
/// resumes, so that it must not begin to serve what it received before.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// Shortest gap between two readings of the clock that counts as a suspension.
    min_gap_ms: u64,
    /// Time after a suspension in which requests are read that were sent before its end.
    backlog_ms: u64,
    last_read_ms: Cell<u64>,
    backlog_until_ms: Cell<u64>,
}

impl SuspensionWatch {
    /// Creates a watch at `now_ms`; times are on a clock that counts suspensions.
    #[must_use]
    pub fn new(now_ms: u64, min_gap_ms: u64, backlog_ms: u64) -> Self {
        Self {
            min_gap_ms,
            backlog_ms,
            last_read_ms: Cell::new(now_ms),
            backlog_until_ms: Cell::new(0),
        }
    }

    /// Records a reading of the clock; returns the gap since the last one, in milliseconds, if the
    /// process was suspended in between.
    pub fn record_reading(&self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_read_ms.replace(now_ms));
        if gap_ms < self.min_gap_ms {
            return None;
        }
        self.backlog_until_ms.set(now_ms + self.backlog_ms);
        Some(gap_ms)
    }

    /// Returns whether a request that was read at `read_ms` may have been sent before the end of a
    /// suspension.
    #[must_use]
    pub fn is_from_before(&self, read_ms: u64) -> bool {
        read_ms < self.backlog_until_ms.get()
    }
}
