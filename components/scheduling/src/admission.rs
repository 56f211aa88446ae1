//! Whether a job is admitted.
//!
//! Answers the pattern of more work than room: a job that would be answered too late to be of
//! use is refused on arrival, before it takes room from one that can still be in time, and its
//! caller is told when the work ahead will be done. Come-back times are spread, so that callers
//! who were refused together do not return together.

use model::CallerId;

use crate::verdict::NotRunReason;

/// Share of the objective by which an expected answer may be late and the job still be admitted;
/// estimates of waiting and running are off by about as much.
const LATE_TOLERANCE: f64 = 0.25;

/// Shortest time to come back after, in milliseconds: a second is the unit of the header.
const MIN_RETRY_MS: u64 = 1_000;

/// Longest time to come back after, in milliseconds.
const MAX_RETRY_MS: u64 = 10_000;

/// What is expected of a job on arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outlook {
    /// Time until its answer, in milliseconds; nothing if a task finds no host.
    pub(crate) finish_ms: Option<f64>,
    /// Time that the answer may take to be in time, in milliseconds.
    pub(crate) objective_ms: u64,
    /// Time that the caller waits, in milliseconds.
    pub(crate) time_left_ms: u64,
}

/// Returns why a job is refused.
pub(crate) fn objection(outlook: &Outlook) -> Option<NotRunReason> {
    let Some(finish_ms) = outlook.finish_ms else {
        return Some(NotRunReason::NoFittingHost);
    };
    if outlook.time_left_ms == 0 {
        return Some(NotRunReason::TooLate);
    }
    let latest_ms = outlook.objective_ms as f64 * (1.0 + LATE_TOLERANCE);
    let is_hopeless = finish_ms > latest_ms.min(outlook.time_left_ms as f64);
    is_hopeless.then_some(NotRunReason::Overload)
}

/// Returns when to come back, in milliseconds, after work that takes `ahead_ms` more.
pub(crate) fn retry_after_ms(id: CallerId, ahead_ms: f64) -> u64 {
    let ahead_ms = (ahead_ms.max(0.0) as u64).clamp(MIN_RETRY_MS, MAX_RETRY_MS / 2);
    let spread = id.as_str().bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    ahead_ms + spread % (ahead_ms + 1)
}
