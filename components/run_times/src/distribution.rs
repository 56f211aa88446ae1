//! Log-normal distribution of a run time.

/// Relative error of a declared run time of a kind that has not been measured yet, as the standard
/// deviation of its logarithm.
pub const DEFAULT_LOG_DEVIATION: f64 = 0.4;

/// Smallest relative error of a forecast, as the standard deviation of its logarithm.
pub const MIN_LOG_DEVIATION: f64 = 0.1;

/// Quantile of the standard normal distribution below which 90% of the values lie.
const NORMAL_QUANTILE_90: f64 = 1.281_551_6;

/// Expected run time of a task on a host of speed 1, with its uncertainty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    /// Median, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm.
    pub log_deviation: f64,
}

impl RunTime {
    /// Returns the forecast for a task of which only the declared time is known.
    #[must_use]
    pub fn declared(declared_ms: u32) -> Self {
        Self {
            median_ms: f64::from(declared_ms.max(1)),
            log_deviation: DEFAULT_LOG_DEVIATION,
        }
    }

    /// Returns the probability that the task takes at most `limit_ms` on a host of speed 1.
    #[must_use]
    pub fn probability_below(&self, limit_ms: f64) -> f64 {
        if limit_ms <= 0.0 {
            return 0.0;
        }
        let deviation = self.log_deviation.max(MIN_LOG_DEVIATION);
        normal_cdf((limit_ms / self.median_ms).ln() / deviation)
    }

    /// Returns the run times in milliseconds between which 80% of the runs are expected: 10% are
    /// shorter and 10% longer.
    #[must_use]
    pub fn band_ms(&self) -> (f64, f64) {
        let factor = (NORMAL_QUANTILE_90 * self.log_deviation).exp();
        (self.median_ms / factor, self.median_ms * factor)
    }

    /// Returns the forecast for a host of this speed, in thousandths.
    #[must_use]
    pub fn at_speed(&self, speed_permille: u32) -> Self {
        Self {
            median_ms: self.median_ms * 1_000.0 / f64::from(speed_permille.max(1)),
            ..*self
        }
    }
}

/// Returns the cumulative distribution function of the standard normal distribution, with an
/// absolute error below 1e-7 (Abramowitz and Stegun, formula 26.2.17).
fn normal_cdf(value: f64) -> f64 {
    const COEFFICIENTS: [f64; 5] = [
        0.319_381_530,
        -0.356_563_782,
        1.781_477_937,
        -1.821_255_978,
        1.330_274_429,
    ];
    let scale = 1.0 / (1.0 + 0.231_641_9 * value.abs());
    let polynomial = COEFFICIENTS
        .iter()
        .rev()
        .fold(0.0, |sum, coefficient| (sum + coefficient) * scale);
    let density = (-value * value / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    let upper_tail = density * polynomial;
    if value >= 0.0 {
        1.0 - upper_tail
    } else {
        upper_tail
    }
}
