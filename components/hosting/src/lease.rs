//! The target's clock and the lease under which its runs go on.

use crate::limits::LEASE_MS;

/// Slowest that a target's clock may run, in percent of the agent's.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// A question for the target's runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldRequest {
    /// New end of the lease on the target's clock, in milliseconds; nothing leaves it as it is.
    pub lease_end_ms: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// How long the target may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// A reading of the target's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    clock_ms: u64,
    read_at_ms: u64,
}

/// The lease of all runs of a target.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    reading: Option<Reading>,
    granted_at_ms: Option<u64>,
}

impl Lease {
    /// Takes a reading of the target's clock.
    pub(crate) fn read_clock(&mut self, now_ms: u64, clock_ms: u64) {
        self.reading = Some(Reading {
            clock_ms,
            read_at_ms: now_ms,
        });
    }

    /// Tells whether the target's clock is known.
    pub(crate) fn has_clock(&self) -> bool {
        self.reading.is_some()
    }

    /// Forgets the clock of a target that has ended.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the end of a lease granted now, on the target's clock, and remembers the grant.
    ///
    /// The target's clock is read too low rather than too high.
    pub(crate) fn grant(&mut self, now_ms: u64) -> Option<u64> {
        let reading = self.reading?;
        let elapsed_ms = now_ms.saturating_sub(reading.read_at_ms);
        let clock_ms = reading.clock_ms + elapsed_ms * SLOWEST_CLOCK_PERCENT / 100;
        self.granted_at_ms = Some(now_ms);
        Some(clock_ms + LEASE_MS)
    }

    /// Returns when everything that runs under the lease has surely ended, on the agent's clock.
    pub(crate) fn over_at_ms(&self) -> u64 {
        let longest_ms = LEASE_MS * 100 / SLOWEST_CLOCK_PERCENT + 2;
        self.granted_at_ms.map_or(0, |at_ms| at_ms + longest_ms)
    }
}
