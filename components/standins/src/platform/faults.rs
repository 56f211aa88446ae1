//! Faults of the stand-in for the platform.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Faults in force; the default is none.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers every call with status 503 and ends the watches; leases do not expire meanwhile.
    pub down: bool,
    /// Closes the connection of every call without an answer or effect, and ends the watches.
    pub cut: bool,
    /// Delay of each call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come that take effect but whose answer is lost.
    pub lose_answers_next: u32,
    /// Probability that the answer of a write is lost after it took effect.
    pub lose_answers_probability: f64,
}

impl PlatformFaults {
    /// Tells whether no call has an effect.
    pub(super) fn unreachable(&self) -> bool {
        self.down || self.cut
    }
}

/// Decides which answers are lost.
pub(super) struct FaultState {
    pub(super) faults: PlatformFaults,
    random: SmallRng,
}

impl FaultState {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            faults: PlatformFaults::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Tells whether the answer of the write just applied is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        if self.faults.lose_answers_next > 0 {
            self.faults.lose_answers_next -= 1;
            return true;
        }
        let probability = self.faults.lose_answers_probability.clamp(0.0, 1.0);
        self.random.random_bool(probability)
    }
}
