//! Faults of links between endpoints.

use std::ops::RangeInclusive;

/// One-way delay of a link without settings of its own, in microseconds.
const DEFAULT_DELAY_US: u64 = 500;

/// Behaviour of one direction of a link.
#[derive(Debug, Clone)]
pub struct Faults {
    pub(super) loss: f64,
    pub(super) duplicate: f64,
    pub(super) delay_us: RangeInclusive<u64>,
    pub(super) ordered: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            delay_us: DEFAULT_DELAY_US..=DEFAULT_DELAY_US,
            ordered: false,
        }
    }
}

impl Faults {
    /// Sets the probability that a message is lost.
    #[must_use]
    pub fn loss(mut self, probability: f64) -> Self {
        self.loss = probability;
        self
    }

    /// Sets the probability that a message is delivered twice.
    #[must_use]
    pub fn duplicate(mut self, probability: f64) -> Self {
        self.duplicate = probability;
        self
    }

    /// Sets the range of the one-way delay; a wide one reorders messages.
    #[must_use]
    pub fn delay_us(mut self, range: RangeInclusive<u64>) -> Self {
        self.delay_us = range;
        self
    }

    /// Delivers messages in the order in which they were sent, as a stream does.
    #[must_use]
    pub fn ordered(mut self) -> Self {
        self.ordered = true;
        self
    }
}
