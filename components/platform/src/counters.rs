//! Counters of calls to the platform.

use std::cell::Cell;

/// Calls made to the platform; each attempt at an address counts.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    /// Reads.
    pub reads: Cell<u64>,
    /// Writes.
    pub writes: Cell<u64>,
    /// Grants, renewals and revocations of leases.
    pub lease_calls: Cell<u64>,
    /// Watches opened.
    pub watches_opened: Cell<u64>,
    /// Watches waiting now.
    pub watches_open: Cell<u64>,
    /// Calls without effect that failed.
    pub not_applied: Cell<u64>,
    /// Calls whose effect is unknown.
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
