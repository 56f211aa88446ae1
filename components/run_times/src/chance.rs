//! Probability that a task ends before its response time objective.

use crate::distribution::RunTime;

/// A task's run against its objective.
///
/// The objective grows with the work of the task, so a longer run is not always a later one: on a
/// fast host a short task has the least time to spare, on a slow host a long one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Race {
    /// Expected run time on a host of speed 1.
    pub run_time: RunTime,
    /// Time from now until the objective of a task without any work, in milliseconds; negative if
    /// that time has passed.
    pub allowance_ms: f64,
    /// Factor by which the work of the task extends the objective.
    pub stretch: f64,
    /// Time until the task starts, and for messages, in milliseconds.
    pub wait_ms: f64,
    /// Run time on the host as a multiple of that on a host of speed 1.
    pub slowness: f64,
}

/// Returns the probability that the task ends before its objective.
#[must_use]
pub fn chance_in_time(race: &Race) -> f64 {
    // In time if wait + slowness * work <= allowance + stretch * work.
    let gain = race.stretch - race.slowness;
    let missing_ms = race.wait_ms - race.allowance_ms;
    match (missing_ms <= 0.0, gain >= 0.0) {
        (true, true) => 1.0,
        (true, false) => race.run_time.probability_below(missing_ms / gain),
        (false, true) => 1.0 - race.run_time.probability_below(missing_ms / gain.max(1e-9)),
        (false, false) => 0.0,
    }
}
