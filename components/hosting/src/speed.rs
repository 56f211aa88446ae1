//! The speed of a target, learned from the progress of its runs.

/// Speed of a target that matches the estimates, in thousandths.
const NORMAL_PERMILLE: f64 = 1_000.0;

/// Slowest and fastest speed that is believed, in thousandths.
const SPEED_RANGE_PERMILLE: (f64, f64) = (50.0, 4_000.0);

/// Weight of a sample per millisecond of expected work that it covers: one second of work moves
/// the speed by two thirds of the way.
const WEIGHT_PER_MS: f64 = 0.001;

/// Time in which a target without samples returns half of the way to normal, in milliseconds.
const RECOVERY_HALF_LIFE_MS: f64 = 2_000.0;

/// The speed of a target compared with the estimates.
#[derive(Debug)]
pub(crate) struct Pace {
    permille: f64,
    sampled_at_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            permille: NORMAL_PERMILLE,
            sampled_at_ms: 0,
        }
    }
}

impl Pace {
    /// Takes note that work estimated at `expected_ms` was done in `elapsed_ms`.
    pub(crate) fn sample(&mut self, now_ms: u64, expected_ms: f64, elapsed_ms: f64) {
        if elapsed_ms <= 0.0 {
            return;
        }
        let (slowest, fastest) = SPEED_RANGE_PERMILLE;
        let speed = (NORMAL_PERMILLE * expected_ms / elapsed_ms).clamp(slowest, fastest);
        let weight = 1.0 - (-WEIGHT_PER_MS * expected_ms.max(elapsed_ms)).exp();
        // Averages times rather than speeds, since the time is what counts.
        let slowness = (1.0 - weight) / self.permille + weight / speed;
        self.permille = 1.0 / slowness;
        self.sampled_at_ms = now_ms;
    }

    /// Returns the speed in thousandths.
    pub(crate) fn permille(&self, now_ms: u64) -> u32 {
        let idle_ms = now_ms.saturating_sub(self.sampled_at_ms) as f64;
        let kept = 0.5_f64.powf(idle_ms / RECOVERY_HALF_LIFE_MS);
        let believed = NORMAL_PERMILLE + (self.permille - NORMAL_PERMILLE) * kept;
        believed.round() as u32
    }
}
