//! Checkers for the promises of the system.
//!
//! A checker takes a whole history and reports the violations of its promise. An answer or a
//! configuration that is due after the last event is not checked. A driver therefore continues
//! for the bounds of [`Bounds`] after its last input, then records
//! [`EventKind::Ended`](crate::event::EventKind::Ended).

mod answers;
mod configuration;
mod isolation;
mod leaving;
mod refusals;
mod starts;
mod stops;
mod timeliness;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{EnumIter, IntoStaticStr};

use crate::history::{Event, History};

pub use answers::{check_own_answer, check_whole_answer};
pub use configuration::{check_config_in_force, check_config_register};
pub use isolation::{check_isolation, check_unaffected};
pub use leaving::check_leaving_target;
pub use refusals::check_true_refusal;
pub use starts::{check_at_most_once, check_starts_once};
pub use stops::check_graceful_stop;
pub use timeliness::check_answered;

/// The promises of the system.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No task of a submission starts twice.
    #[display("starts once")]
    StartsOnce,
    /// An answer is complete or failed, never partial.
    #[display("whole answer")]
    WholeAnswer,
    /// A caller receives the answer to its own request.
    #[display("own answer")]
    OwnAnswer,
    /// Every accepted request is answered, in time.
    #[display("answered")]
    Answered,
    /// A refusal that says that no task ran is true.
    #[display("true refusal")]
    TrueRefusal,
    /// A job that is not repeatable runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// A target that leaves gets no new work.
    #[display("leaving target")]
    LeavingTarget,
    /// A graceful stop interrupts no request in progress.
    #[display("graceful stop")]
    GracefulStop,
    /// An accepted configuration is in force everywhere in time and never reverts.
    #[display("configuration")]
    Configuration,
    /// No firm sees the data of another or is affected by its faults.
    #[display("isolation")]
    Isolation,
}

/// A violation of a promise.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{promise}: {message} (events {events:?})")]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// What happened.
    pub message: String,
    /// Sequence numbers of the events that prove the violation.
    pub events: Vec<u64>,
}

impl Violation {
    pub(crate) fn new(promise: Promise, message: impl Into<String>, events: &[&Event]) -> Self {
        Self {
            promise,
            message: message.into(),
            events: events.iter().map(|event| event.sequence).collect(),
        }
    }
}

/// Time limits of the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time after a job's deadline for its answer to arrive, in microseconds.
    pub answer_us: u64,
    /// Time after a target announced its leave during which tasks may still start there, in
    /// microseconds.
    pub leaving_us: u64,
    /// Time after its acceptance within which a configuration is in force, in microseconds.
    pub config_us: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            answer_us: 500_000,
            leaving_us: 3_000_000,
            config_us: 4_000_000,
        }
    }
}

/// Runs every checker that takes a single history.
#[must_use]
pub fn check_all(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let checkers = [
        check_starts_once,
        check_whole_answer,
        check_own_answer,
        check_answered,
        check_true_refusal,
        check_at_most_once,
        check_leaving_target,
        check_graceful_stop,
        check_config_in_force,
        check_config_register,
        check_isolation,
    ];
    checkers
        .iter()
        .flat_map(|check| check(history, bounds))
        .collect()
}
