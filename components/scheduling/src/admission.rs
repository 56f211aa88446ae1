//! Admission control.
//!
//! Under overload, a job whose answer would come too late to be useful is refused on arrival,
//! before it takes capacity from jobs that can still finish in time. The refusal carries a retry
//! delay that covers the backlog. Retry delays are spread, so that callers that are refused at the
//! same time do not retry at the same time.

use model::JobId;

use crate::verdict::NotRunReason;

/// Share of the objective by which the expected answer of an admitted job may be late; estimates
/// of wait and run times are off by about as much.
const MAX_LATENESS_SHARE: f64 = 0.25;

/// Minimum retry delay, in milliseconds: the unit of the `Retry-After` header is a second.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Expected response time of a job, with its limits; all times count from the job's arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Forecast {
    /// Expected time until the answer, in milliseconds; `None` if a task finds no host.
    pub(crate) finish_ms: Option<f64>,
    /// Response time objective, in milliseconds.
    pub(crate) objective_ms: u64,
    /// Time until the caller stops waiting, in milliseconds.
    pub(crate) time_left_ms: u64,
}

/// Returns the reason to refuse a job, or `None` if it is admitted.
pub(crate) fn refusal_reason(forecast: &Forecast) -> Option<NotRunReason> {
    let Some(finish_ms) = forecast.finish_ms else {
        return Some(NotRunReason::NoFittingHost);
    };
    if forecast.time_left_ms == 0 {
        return Some(NotRunReason::TooLate);
    }
    let latest_ms = forecast.objective_ms as f64 * (1.0 + MAX_LATENESS_SHARE);
    let is_too_late = finish_ms > latest_ms.min(forecast.time_left_ms as f64);
    is_too_late.then_some(NotRunReason::Overload)
}

/// Returns the retry delay of a refused job, in milliseconds.
///
/// It lies between the time that the backlog takes and twice that time, by a hash of the id.
pub(crate) fn retry_after_ms(id: JobId, backlog_ms: f64) -> u64 {
    let backlog_ms = (backlog_ms.max(0.0) as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS / 2);
    let spread = id.as_str().bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    backlog_ms + spread % (backlog_ms + 1)
}
