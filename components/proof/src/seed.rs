//! Seeded random number generator.

use std::ops::RangeInclusive;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A generator that draws the same numbers for the same seed.
#[derive(Debug, Clone)]
pub struct SeededRng(SmallRng);

impl SeededRng {
    /// Creates a generator from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// Creates a second generator whose numbers do not depend on later use of this one.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Self::new(self.0.random())
    }

    /// Returns `true` with the given probability, clamped to between zero and one.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.0.random::<f64>() < probability
    }

    /// Draws a number from `range`.
    ///
    /// # Panics
    ///
    /// Panics if `range` is empty.
    pub fn range(&mut self, range: RangeInclusive<u64>) -> u64 {
        self.0.random_range(range)
    }

    /// Picks an item, or `None` from an empty slice.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        if items.is_empty() {
            return None;
        }
        items.get(self.0.random_range(0..items.len()))
    }
}
