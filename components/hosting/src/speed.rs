//! Estimate of a target's speed from the progress of its runs.

/// Speed of a target whose run times match the estimates, in thousandths.
const NORMAL_PERMILLE: f64 = 1_000.0;

/// Lowest and highest speed that a sample may show, in thousandths; others are clamped.
const SPEED_RANGE_PERMILLE: (f64, f64) = (50.0, 4_000.0);

/// Weight of a sample per millisecond of its expected or elapsed time, whichever is longer: one
/// second moves the estimate by two thirds of the way to the sample.
const WEIGHT_PER_MS: f64 = 0.001;

/// Time without samples after which the estimate is halfway back to normal, in milliseconds.
const DECAY_HALF_LIFE_MS: f64 = 2_000.0;

/// Exponential moving average of a target's speed relative to the estimated run times.
#[derive(Debug)]
pub(crate) struct SpeedEstimate {
    permille: f64,
    sampled_at_ms: u64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            permille: NORMAL_PERMILLE,
            sampled_at_ms: 0,
        }
    }
}

impl SpeedEstimate {
    /// Adds a sample: work estimated at `expected_ms` was done in `elapsed_ms`.
    pub(crate) fn add_sample(&mut self, now_ms: u64, expected_ms: f64, elapsed_ms: f64) {
        if elapsed_ms <= 0.0 {
            return;
        }
        let (slowest, fastest) = SPEED_RANGE_PERMILLE;
        let speed = (NORMAL_PERMILLE * expected_ms / elapsed_ms).clamp(slowest, fastest);
        let weight = 1.0 - (-WEIGHT_PER_MS * expected_ms.max(elapsed_ms)).exp();
        // Averages run times rather than speeds, since the run time is to be predicted.
        let slowness = (1.0 - weight) / self.permille + weight / speed;
        self.permille = 1.0 / slowness;
        self.sampled_at_ms = now_ms;
    }

    /// Returns the estimated speed, in thousandths.
    pub(crate) fn permille(&self, now_ms: u64) -> u32 {
        let idle_ms = now_ms.saturating_sub(self.sampled_at_ms) as f64;
        let remaining_weight = 0.5_f64.powf(idle_ms / DECAY_HALF_LIFE_MS);
        let decayed = NORMAL_PERMILLE + (self.permille - NORMAL_PERMILLE) * remaining_weight;
        decayed.round() as u32
    }
}
