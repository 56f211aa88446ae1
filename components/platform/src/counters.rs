//! Counters of calls to the platform.

use std::cell::Cell;

/// Counters of calls to the platform; each attempt at an address is counted.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    /// Reads.
    pub reads: Cell<u64>,
    /// Writes.
    pub writes: Cell<u64>,
    /// Grants, renewals and revocations of leases.
    pub lease_calls: Cell<u64>,
    /// Attempts to open a watch.
    pub watches_opened: Cell<u64>,
    /// Currently open watches.
    pub watches_open: Cell<u64>,
    /// Failed calls that had no effect.
    pub not_applied: Cell<u64>,
    /// Failed calls that may have taken effect.
    pub unknown: Cell<u64>,
}

impl PlatformCounters {
    /// Returns the number of calls of all kinds.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.reads.get() + self.writes.get() + self.lease_calls.get() + self.watches_opened.get()
    }
}

pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
