//! Linear regression of measured on declared run times, in logarithms.

use crate::distribution::{DEFAULT_LOG_DEVIATION, MIN_LOG_DEVIATION, RunTime};

/// Weight of the assumption that declared times are right on average, in jobs.
const PRIOR_JOBS: f64 = 4.0;

/// Weight of the assumption that a run takes as much longer as its declared time is longer, as a sum
/// of squared logarithms: that of 10 jobs whose declared times vary by the default error.
const PRIOR_SLOPE_WEIGHT: f64 = 10.0 * DEFAULT_LOG_DEVIATION * DEFAULT_LOG_DEVIATION;

/// Number of jobs after which an observation has lost two thirds of its weight.
const MEMORY_JOBS: f64 = 400.0;

/// Sums over the observations of one kind of task.
///
/// `x` is the logarithm of a declared time, `z` that of the measured over the declared time. The
/// kind's tasks are expected to take `x + mean_z + slope * (x - mean_x)`: the slope is 0 if declared
/// times are right, and close to -1 if they are random, so that the forecast falls back to what tasks
/// of the kind take.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Regression {
    /// Sum of the weights, in jobs.
    jobs: f64,
    mean_x: f64,
    mean_z: f64,
    sum_xx: f64,
    sum_xz: f64,
    sum_zz: f64,
}

impl Regression {
    /// Adds a run that was declared as `declared_ms` and took `measured_ms` on a host of speed 1.
    /// `weight` is the run's share of its job.
    pub(crate) fn add(&mut self, declared_ms: f64, measured_ms: f64, weight: f64) {
        let x = declared_ms.max(1.0).ln();
        let z = measured_ms.max(1.0).ln() - x;
        let kept = (-weight / MEMORY_JOBS).exp();
        self.jobs *= kept;
        self.sum_xx *= kept;
        self.sum_xz *= kept;
        self.sum_zz *= kept;
        self.jobs += weight;
        let (from_mean_x, from_mean_z) = (x - self.mean_x, z - self.mean_z);
        let share = weight / self.jobs;
        self.mean_x += share * from_mean_x;
        self.mean_z += share * from_mean_z;
        let later_from_mean_z = z - self.mean_z;
        self.sum_xx += weight * from_mean_x * (x - self.mean_x);
        self.sum_xz += weight * from_mean_x * later_from_mean_z;
        self.sum_zz += weight * from_mean_z * later_from_mean_z;
    }

    /// Returns the forecast for a task with this declared time.
    pub(crate) fn forecast(&self, declared_ms: f64) -> RunTime {
        if self.jobs <= 0.0 {
            return RunTime {
                median_ms: declared_ms,
                log_deviation: DEFAULT_LOG_DEVIATION,
            };
        }
        let x = declared_ms.max(1.0).ln();
        let offset = self.mean_z * self.jobs / (self.jobs + PRIOR_JOBS);
        let forecast = x + offset + self.slope() * (x - self.mean_x);
        RunTime {
            median_ms: forecast.exp(),
            log_deviation: self.log_deviation(),
        }
    }

    fn slope(&self) -> f64 {
        (self.sum_xz / (self.sum_xx + PRIOR_SLOPE_WEIGHT)).clamp(-1.0, 0.0)
    }

    /// Returns the deviation of measured times from the forecast, with the default as prior.
    fn log_deviation(&self) -> f64 {
        let slope = self.slope();
        let squares = self.sum_zz - 2.0 * slope * self.sum_xz + slope * slope * self.sum_xx;
        let prior_squares = PRIOR_JOBS * DEFAULT_LOG_DEVIATION * DEFAULT_LOG_DEVIATION;
        let variance = (squares.max(0.0) + prior_squares) / (self.jobs + PRIOR_JOBS);
        variance.sqrt().max(MIN_LOG_DEVIATION)
    }
}
