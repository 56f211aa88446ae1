//! Arrival rate of work by job size, as an exponential moving average.

/// Time constant of the exponential moving average, in microseconds.
const AVERAGING_TIME_US: f64 = 5_000_000.0;

/// Number of size classes; each covers sizes twice as large as the one before.
const CLASSES: usize = 48;

/// Work that arrives per microsecond, by size class.
#[derive(Debug)]
pub struct Arrivals {
    rates: [f64; CLASSES],
    updated_us: u64,
}

impl Default for Arrivals {
    fn default() -> Self {
        Self {
            rates: [0.0; CLASSES],
            updated_us: 0,
        }
    }
}

impl Arrivals {
    /// Records an admitted job.
    pub fn record_arrival(&mut self, work_us: u64, now_us: u64) {
        let factor = self.decay(now_us);
        for rate in &mut self.rates {
            *rate *= factor;
        }
        self.updated_us = self.updated_us.max(now_us);
        self.rates[class_of(work_us)] += work_us as f64 / AVERAGING_TIME_US;
    }

    /// Returns the work of smaller jobs that arrives per microsecond, in microseconds.
    pub fn rate_below(&self, work_us: u64, now_us: u64) -> f64 {
        let class = class_of(work_us);
        let below: f64 = self.rates[..class].iter().sum();
        (below + self.rates[class] / 2.0) * self.decay(now_us)
    }

    fn decay(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.updated_us) as f64;
        (-passed_us / AVERAGING_TIME_US).exp()
    }
}

fn class_of(work_us: u64) -> usize {
    (work_us.max(1).ilog2() as usize).min(CLASSES - 1)
}
