//! Faults that the platform stand-in injects.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Injected faults; none by default.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rejects every call with status 503 and ends the watches; leases do not expire meanwhile.
    pub down: bool,
    /// Closes the connection of every call without a response or effect, and ends the watches;
    /// leases do not expire meanwhile.
    pub cut: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but whose response is dropped.
    pub lose_answers_next: u32,
    /// Probability that the response to a write is dropped after the write took effect.
    pub lose_answers_probability: f64,
}

impl PlatformFaults {
    /// Returns whether an outage is injected, in which no call has an effect.
    pub(super) fn is_unreachable(&self) -> bool {
        self.down || self.cut
    }
}

/// Holds the injected faults and decides which responses are dropped.
pub(super) struct FaultInjector {
    pub(super) faults: PlatformFaults,
    random: SmallRng,
}

impl FaultInjector {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            faults: PlatformFaults::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Decides whether to drop the response to a write that took effect.
    pub(super) fn decide_response_loss(&mut self) -> bool {
        if self.faults.lose_answers_next > 0 {
            self.faults.lose_answers_next -= 1;
            return true;
        }
        let probability = self.faults.lose_answers_probability.clamp(0.0, 1.0);
        self.random.random_bool(probability)
    }
}
