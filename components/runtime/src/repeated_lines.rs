//! Log lines of one cause, written at most once a second with their count, without I/O and clock.
//!
//! Handles thousands of equal events a second, as starts that a target resets or tasks that hosts
//! turn back in a burst: their lines would use up the limit of lines and hide all others.

use std::collections::BTreeMap;

/// Shortest time between two lines of one cause, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1_000;

/// Counts events by cause, and decides which of them are logged.
///
/// Causes should come from a small set: those of the last second are kept.
#[derive(Debug, Clone)]
pub struct RepeatedLines<K> {
    causes: BTreeMap<K, Cause>,
}

#[derive(Debug, Clone, Copy)]
struct Cause {
    unlogged: u64,
    next_line_at_ms: u64,
}

impl<K> Default for RepeatedLines<K> {
    fn default() -> Self {
        Self {
            causes: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> RepeatedLines<K> {
    /// Counts an event; returns the number of events that its line stands for if one is due: the
    /// first event of a cause is logged immediately.
    pub fn record(&mut self, now_ms: u64, cause: K) -> Option<u64> {
        let state = self.causes.entry(cause).or_insert(Cause {
            unlogged: 0,
            next_line_at_ms: now_ms,
        });
        state.unlogged += 1;
        state.take_due(now_ms)
    }

    /// Returns the causes with events that have not been logged, and the numbers of these events, without
    /// waiting until their lines are due; for the end of a series of events.
    pub fn drain(&mut self, now_ms: u64) -> Vec<(K, u64)> {
        let unlogged = self
            .causes
            .iter_mut()
            .filter(|(_, state)| state.unlogged > 0);
        unlogged
            .map(|(cause, state)| (*cause, state.take(now_ms)))
            .collect()
    }

    /// Returns the causes with events whose line is due, and the numbers of these events.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<(K, u64)> {
        let mut due = Vec::new();
        self.causes.retain(|cause, state| {
            let is_idle = state.unlogged == 0 && state.next_line_at_ms <= now_ms;
            due.extend(state.take_due(now_ms).map(|count| (*cause, count)));
            !is_idle
        });
        due
    }
}

impl Cause {
    fn take_due(&mut self, now_ms: u64) -> Option<u64> {
        if self.unlogged == 0 || now_ms < self.next_line_at_ms {
            return None;
        }
        Some(self.take(now_ms))
    }

    fn take(&mut self, now_ms: u64) -> u64 {
        self.next_line_at_ms = now_ms + LINE_INTERVAL_MS;
        std::mem::take(&mut self.unlogged)
    }
}
