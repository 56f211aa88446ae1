//! Comparison of forecasts with what happened.

use strum::{EnumIter, IntoStaticStr};

/// Part of a job that a forecast is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ForecastStage {
    /// The wait of a task in the queue of its host, messages included.
    Wait,
    /// The run of a task.
    Run,
    /// The whole job, from its arrival to its answer.
    Job,
}

/// A duration and its forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForecastOutcome {
    /// What the forecast is about.
    pub stage: ForecastStage,
    /// Expected duration, in milliseconds.
    pub expected_ms: f64,
    /// Actual duration, in milliseconds.
    pub actual_ms: f64,
    /// Whether the duration lies between the 10% and the 90% quantile of the forecast; `None` if the
    /// forecast has no quantiles.
    pub is_in_band: Option<bool>,
    /// Whether other runs used more than half of the host's cores when the run started; `None` if the
    /// duration is not that of a run.
    pub was_host_busy: Option<bool>,
}

impl ForecastOutcome {
    /// Returns the actual duration as a multiple of the expected one.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.actual_ms / self.expected_ms.max(1.0)
    }
}
