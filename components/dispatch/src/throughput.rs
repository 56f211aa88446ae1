//! Rate at which waiting work is placed, measured while there is a backlog.

/// Time constant of the exponential moving average, in microseconds of time with a backlog.
const AVERAGING_TIME_US: f64 = 2_000_000.0;

/// Work placed per microsecond while tasks wait because no agent has room.
///
/// Other entries, other firms and stragglers reduce it below the nominal rate of the targets.
#[derive(Debug, Default)]
pub struct Throughput {
    /// Weighted sum of the measured rates; the weights add up to `weight`.
    rate: f64,
    weight: f64,
    stalled_us: Option<u64>,
}

impl Throughput {
    /// Records that no agent had room for a task.
    pub fn stalled(&mut self, now_us: u64) {
        self.stalled_us.get_or_insert(now_us);
    }

    /// Records that no task waits any more.
    pub fn backlog_cleared(&mut self) {
        self.stalled_us = None;
    }

    /// Records a placed task; ignored while there is no backlog.
    pub fn placed(&mut self, work_us: f64, now_us: u64) {
        let Some(since_us) = self.stalled_us else {
            return;
        };
        let passed_us = now_us.saturating_sub(since_us) as f64;
        let keep = (-passed_us / AVERAGING_TIME_US).exp();
        self.rate = self.rate * keep + work_us / AVERAGING_TIME_US;
        self.weight = self.weight * keep + (1.0 - keep);
        self.stalled_us = Some(now_us);
    }

    /// Returns the expected rate: a blend of `nominal`, the rate of the targets alone, and the
    /// measured rate, at most `nominal`.
    pub fn expected(&self, nominal: f64) -> f64 {
        (nominal * (1.0 - self.weight) + self.rate).min(nominal)
    }
}
