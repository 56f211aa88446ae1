//! Samples of run times.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws run times from a seeded source.
pub struct Sampler(SmallRng);

impl Sampler {
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// Draws from an approximately log-normal distribution.
    pub fn log_normal(&mut self, median: f64, deviation: f64) -> f64 {
        let normal = (0..12).map(|_| self.0.random::<f64>()).sum::<f64>() - 6.0;
        median * (normal * deviation).exp()
    }
}
