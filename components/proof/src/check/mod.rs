//! One checker for each promise.
//!
//! A checker takes a whole history and reports what breaks its promise. Obligations that fall
//! due after the last event are not judged, so a driver runs on for the bounds of [`Bounds`]
//! after its last input and records [`EventKind::Ended`](crate::event::EventKind::Ended).

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
    /// A graceful stop cuts no request in progress.
    #[display("graceful stop")]
    GracefulStop,
    /// An accepted configuration is in force everywhere in time and never reverts.
    #[display("configuration")]
    Configuration,
    /// Neither firm sees the other's work or feels its faults.
    #[display("isolation")]
    Isolation,
}

/// A broken promise.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{promise}: {message} (events {events:?})")]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What happened.
    pub message: String,
    /// Sequence numbers of the events that show it.
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

/// Times within which promises are to be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time after a job's deadline for its answer to arrive, in microseconds.
    pub answer_us: u64,
    /// Time after a target's leave for starts to cease, in microseconds.
    pub leaving_us: u64,
    /// Time for an accepted configuration to be in force, in microseconds.
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

/// Runs every checker that needs one history only.
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
