//! The rate at which waiting work is placed, measured while there is a backlog.

/// Time with a backlog over which the rate is averaged, in microseconds.
const AVERAGING_US: f64 = 2_000_000.0;

/// Work placed in a microsecond while tasks wait for want of room.
///
/// Other entries, other firms and stragglers lower it below what the targets could do.
#[derive(Debug, Default)]
pub struct Throughput {
    /// Weighted mean of the rate, of which the weights add up to `weight`.
    rate: f64,
    weight: f64,
    stalled_us: Option<u64>,
}

impl Throughput {
    /// Notes that a task found no room.
    pub fn stalled(&mut self, now_us: u64) {
        self.stalled_us.get_or_insert(now_us);
    }

    /// Notes that no task waits any more.
    pub fn drained(&mut self) {
        self.stalled_us = None;
    }

    /// Notes a task that was placed.
    pub fn placed(&mut self, work_us: f64, now_us: u64) {
        let Some(since_us) = self.stalled_us else {
            return;
        };
        let passed_us = now_us.saturating_sub(since_us) as f64;
        let keep = (-passed_us / AVERAGING_US).exp();
        self.rate = self.rate * keep + work_us / AVERAGING_US;
        self.weight = self.weight * keep + (1.0 - keep);
        self.stalled_us = Some(now_us);
    }

    /// Returns the rate to expect where the targets alone could do `nominal`.
    pub fn expected(&self, nominal: f64) -> f64 {
        (nominal * (1.0 - self.weight) + self.rate).min(nominal)
    }
}
