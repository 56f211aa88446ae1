//! Estimate of a host's speed from the runs of many jobs.

use crate::distribution::MIN_LOG_DEVIATION;

/// Speed of a host on which runs take as long as forecast, in thousandths.
const NORMAL_PERMILLE: f64 = 1_000.0;

/// Range of the logarithm of the slowness that a sample may show; others are clamped.
const LOG_SLOWNESS_RANGE: (f64, f64) = (-1.4, 3.0);

/// Growth of the variance of the estimate per second, since the speed of a host may change.
const VARIANCE_GROWTH_PER_S: f64 = 0.02;

/// Largest variance of the estimate: speeds of hosts differ by a factor of two.
const MAX_VARIANCE: f64 = 0.5;

/// Deviation of a sample from the estimate, in standard deviations, from which on the speed may have
/// changed.
const SURPRISE_DEVIATIONS: f64 = 3.0;

/// Time without samples after which the estimate begins to return to normal, in milliseconds: a few
/// polls of the target, so that the pauses between the samples of one run do not count.
const DECAY_DELAY_MS: u64 = 300;

/// Time in which the estimate returns halfway to normal without samples, in milliseconds.
const DECAY_HALF_LIFE_MS: f64 = 2_000.0;

/// Factor from the median within which a host's speed counts for the reference speed.
const REFERENCE_RANGE: f64 = 2.5;

/// Progress of a run, or its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Time that the observed part of the run was expected to take on a host of speed 1, in
    /// milliseconds.
    pub expected_ms: f64,
    /// Time that it took, in milliseconds.
    pub elapsed_ms: f64,
    /// Weight of the sample; the weights of all samples of a run add up to one at most, so that
    /// long runs weigh no more than short ones.
    pub weight: f64,
    /// Standard deviation of the logarithm of the expected time.
    pub log_deviation: f64,
}

/// Estimate of a host's speed relative to the expected run times.
///
/// A Kalman filter for the logarithm of the slowness: how far a sample moves it depends on how
/// uncertain the expected times are, and on how long ago the estimate was made.
#[derive(Debug, Clone, Copy)]
pub struct HostSpeed {
    log_slowness: f64,
    variance: f64,
    sampled_at_ms: u64,
}

impl Default for HostSpeed {
    fn default() -> Self {
        Self {
            log_slowness: 0.0,
            variance: MAX_VARIANCE / 2.0,
            sampled_at_ms: 0,
        }
    }
}

impl HostSpeed {
    /// Adds a sample; one without weight shows only that the host is still observed.
    pub fn add_sample(&mut self, now_ms: u64, sample: &SpeedSample) {
        if sample.elapsed_ms <= 0.0 || sample.expected_ms <= 0.0 {
            return;
        }
        self.log_slowness = self.decayed(now_ms);
        self.variance = self.grown_variance(now_ms);
        self.sampled_at_ms = now_ms;
        if sample.weight <= 0.0 {
            return;
        }
        let (fastest, slowest) = LOG_SLOWNESS_RANGE;
        let sampled = (sample.elapsed_ms / sample.expected_ms)
            .ln()
            .clamp(fastest, slowest);
        let sample_variance = sample.log_deviation.max(MIN_LOG_DEVIATION).powi(2) / sample.weight;
        let surprise = sampled - self.log_slowness;
        let total_variance = self.variance + sample_variance;
        let gain = self.variance / total_variance;
        self.log_slowness += gain * surprise;
        self.variance *= 1.0 - gain;
        if surprise * surprise > SURPRISE_DEVIATIONS * SURPRISE_DEVIATIONS * total_variance {
            // One run may be an exception; if the speed has changed, the next ones count in full.
            self.variance = self.variance.max(sample_variance).min(MAX_VARIANCE);
        }
    }

    /// Returns the estimated speed, in thousandths.
    #[must_use]
    pub fn permille(&self, now_ms: u64) -> u32 {
        (NORMAL_PERMILLE / self.decayed(now_ms).exp()).round() as u32
    }

    /// Returns the standard deviation of the logarithm of the estimated speed.
    #[must_use]
    pub fn log_deviation(&self, now_ms: u64) -> f64 {
        self.grown_variance(now_ms).sqrt()
    }

    fn grown_variance(&self, now_ms: u64) -> f64 {
        let idle_s = now_ms.saturating_sub(self.sampled_at_ms) as f64 / 1_000.0;
        (self.variance + VARIANCE_GROWTH_PER_S * idle_s).min(MAX_VARIANCE)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let decay_from_ms = self.sampled_at_ms + DECAY_DELAY_MS;
        let idle_ms = now_ms.saturating_sub(decay_from_ms) as f64;
        self.log_slowness * 0.5_f64.powf(idle_ms / DECAY_HALF_LIFE_MS)
    }
}

/// Returns the speed of a usual host among these, in thousandths: the geometric mean of the speeds
/// that lie close to the median. Returns normal speed if there are none.
///
/// If all hosts seem slow, the run times were declared too short. Work is therefore measured on a
/// usual host, while hosts far from the median are slowed down by a fault.
#[must_use]
pub fn reference_speed(speeds_permille: &mut [u32]) -> f64 {
    if speeds_permille.is_empty() {
        return NORMAL_PERMILLE;
    }
    let middle = speeds_permille.len() / 2;
    let (_, median, _) = speeds_permille.select_nth_unstable(middle);
    let median = f64::from((*median).max(1));
    let range = median / REFERENCE_RANGE..=median * REFERENCE_RANGE;
    let usual = speeds_permille.iter().map(|speed| f64::from(*speed));
    let (count, sum) = usual
        .filter(|speed| range.contains(speed))
        .fold((0, 0.0), |(count, sum), speed| {
            (count + 1, sum + speed.ln())
        });
    (sum / f64::from(count.max(1))).exp()
}
