//! Rates at which work arrives, by the size of jobs.

/// Time over which rates are averaged, in microseconds.
const AVERAGING_US: f64 = 5_000_000.0;

/// Size classes, each twice as large as the one before.
const CLASSES: usize = 48;

/// Work that arrives in a microsecond, by size class.
#[derive(Debug)]
pub struct Arrivals {
    rates: [f64; CLASSES],
    noted_us: u64,
}

impl Default for Arrivals {
    fn default() -> Self {
        Self {
            rates: [0.0; CLASSES],
            noted_us: 0,
        }
    }
}

impl Arrivals {
    /// Notes a job that was admitted.
    pub fn note(&mut self, work_us: u64, now_us: u64) {
        let factor = self.decay(now_us);
        for rate in &mut self.rates {
            *rate *= factor;
        }
        self.noted_us = self.noted_us.max(now_us);
        self.rates[class_of(work_us)] += work_us as f64 / AVERAGING_US;
    }

    /// Returns the work of smaller jobs that arrives in a microsecond, in microseconds.
    pub fn rate_below(&self, work_us: u64, now_us: u64) -> f64 {
        let class = class_of(work_us);
        let below: f64 = self.rates[..class].iter().sum();
        (below + self.rates[class] / 2.0) * self.decay(now_us)
    }

    fn decay(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.noted_us) as f64;
        (-passed_us / AVERAGING_US).exp()
    }
}

fn class_of(work_us: u64) -> usize {
    (work_us.max(1).ilog2() as usize).min(CLASSES - 1)
}
