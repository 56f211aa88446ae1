//! Admission control.
//!
//! Under overload, a job that has no prospect of an answer in time is refused on arrival, before it
//! takes capacity from jobs that can still finish in time. A job that finds idle hosts takes nothing
//! from others: it is admitted as long as its caller waits for the answer. The refusal carries a
//! retry delay that covers the backlog. Retry delays are spread, so that callers that are refused at the
//! same time do not retry at the same time.

use model::JobId;

use crate::verdict::NotRunReason;

/// Probability of an answer in time below which a job is refused, unless it takes only room that is
/// idle; also the least probability of an answer while its caller waits.
const MIN_CHANCE: f64 = 0.05;

/// Minimum retry delay, in milliseconds: the unit of the `Retry-After` header is a second.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// What is expected of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Prospect {
    /// Expected time until the answer, in milliseconds.
    pub(crate) finish_ms: f64,
    /// Probability that the answer comes before the job's objective.
    pub(crate) chance_in_time: f64,
    /// Probability that the answer comes before the caller stops waiting.
    pub(crate) chance_served: f64,
    /// Whether all its tasks start at once, on hosts that keep room for others.
    pub(crate) is_room_idle: bool,
}

/// Returns the reason to refuse a job, or `None` if it is admitted.
///
/// `prospect` is `None` if a task finds no host; `time_left_ms` is the time until the caller stops
/// waiting.
pub(crate) fn refusal_reason(
    prospect: Option<&Prospect>,
    time_left_ms: u64,
) -> Option<NotRunReason> {
    let Some(prospect) = prospect else {
        return Some(NotRunReason::NoFittingHost);
    };
    if time_left_ms == 0 {
        return Some(NotRunReason::TooLate);
    }
    let is_in_vain = prospect.chance_served < MIN_CHANCE;
    let is_late = prospect.chance_in_time < MIN_CHANCE && !prospect.is_room_idle;
    (is_in_vain || is_late).then_some(NotRunReason::Overload)
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
