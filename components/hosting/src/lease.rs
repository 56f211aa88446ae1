//! The target's clock, and the lease of its runs.
//!
//! The target stops its runs when the lease ends on its own clock, so that they end even if the
//! agent crashes or is cut off.

use std::rc::Rc;

use crate::limits::LEASE_MS;

/// Lowest rate at which a target's clock may advance, in percent of the agent's.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// A poll of the target: asks for its runs and renews their lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPoll {
    /// Instance name of the target that is meant; `None` if it has not reported yet.
    pub instance: Option<Rc<str>>,
    /// New end of the lease on the target's clock, in milliseconds; `None` does not renew it.
    pub lease_end_ms: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Number up to which ended runs are acknowledged; the target may drop them.
    pub acknowledged: u64,
    /// How long the target may wait for the end of a run before it answers, in milliseconds.
    pub wait_ms: u64,
    /// How long the answer may take beyond that, in milliseconds.
    pub timeout_ms: u64,
}

/// A reading of the target's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    read_at_ms: u64,
}

/// The lease of all runs of a target.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    reading: Option<ClockReading>,
    granted_at_ms: Option<u64>,
}

impl Lease {
    /// Records a reading of the target's clock.
    pub(crate) fn record_clock(&mut self, now_ms: u64, clock_ms: u64) {
        self.reading = Some(ClockReading {
            clock_ms,
            read_at_ms: now_ms,
        });
    }

    /// Returns whether the target's clock is known.
    pub(crate) fn has_clock(&self) -> bool {
        self.reading.is_some()
    }

    /// Clears clock and lease, after the target was restarted.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Grants a lease and returns its end on the target's clock, if that clock is known.
    ///
    /// The target's clock is extrapolated at its lowest rate, so that the lease ends too early
    /// rather than too late.
    pub(crate) fn grant(&mut self, now_ms: u64) -> Option<u64> {
        let reading = self.reading?;
        let elapsed_ms = now_ms.saturating_sub(reading.read_at_ms);
        let advance_ms = elapsed_ms * MIN_CLOCK_RATE_PERCENT / 100;
        self.granted_at_ms = Some(now_ms);
        Some(reading.clock_ms.saturating_add(advance_ms + LEASE_MS))
    }

    /// Returns the time on the agent's clock at which the last lease has expired at the target even
    /// if the target's clock advances at its lowest rate.
    pub(crate) fn expired_at_ms(&self) -> u64 {
        let max_duration_ms = LEASE_MS * 100 / MIN_CLOCK_RATE_PERCENT + 2;
        self.granted_at_ms
            .map_or(0, |at_ms| at_ms + max_duration_ms)
    }
}
