//! Reports and answers of a target.

use std::rc::Rc;

use model::{Resources, TaskRef};

use crate::incarnation::TargetIdentity;

/// Status report of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity of the target.
    pub instance: Rc<str>,
    /// When this incarnation of the target started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Number of the report; it increases within an incarnation.
    pub sequence: u64,
    /// Group of interchangeable targets.
    pub group: Rc<str>,
    /// Labels: kind and rack.
    pub labels: Vec<Rc<str>>,
    /// Total resources of the target.
    pub capacity: Resources,
    /// Whether the target is draining before it shuts down.
    pub is_draining: bool,
    /// Shortest time from this report until a draining target shuts down, in milliseconds, if told.
    pub leaves_in_ms: Option<u64>,
}

impl TargetReport {
    /// Returns the incarnation that the report names.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity {
            instance: Rc::clone(&self.instance),
            born_unix_ms: self.born_unix_ms,
        }
    }
}

/// A run that the target lists as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub number: u32,
    /// Progress, in percent.
    pub percent: u8,
}

/// How a run ended, as reported by the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum TargetEnd {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another run that it depends on ended.
    Broken,
}

/// A run that the target lists as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end within this incarnation of the target.
    pub sequence: u64,
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub number: u32,
    /// How it ended.
    pub end: TargetEnd,
}

/// A target's answer to a poll: its runs and its clock.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRuns {
    /// When this incarnation of the target started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// The target's clock, in milliseconds.
    pub clock_ms: u64,
    /// The running runs.
    pub running: Vec<RunningRun>,
    /// The ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
    /// Number of the last listed end, including those that could not be parsed.
    pub last_sequence: u64,
}

/// Result of a poll of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetPollOutcome {
    /// The target answered.
    Answered(TargetRuns),
    /// The target has seen a higher fencing token.
    StaleToken,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// The connection was refused: no process listens at the target's address.
    NobodyListens,
    /// The connection broke before the time limit, or the answer was unreadable; the poll may have
    /// arrived.
    Inconclusive,
    /// The target did not answer in time.
    Unanswered,
}

/// Why a target refused a start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum StartRefusal {
    /// The target has seen a higher fencing token.
    StaleToken,
    /// A run of the task with this or a higher number has already been at the target.
    OldNumber,
    /// The lease had expired when the start arrived.
    LeaseOver,
    /// The target lacks free resources for the task.
    NoRoom,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// The target is overloaded or unhealthy.
    Unhealthy,
    /// The target cannot parse the request.
    Malformed,
}

/// Result of a start call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartOutcome {
    /// The run has started.
    Started,
    /// The run has not started, and this call will not start it later.
    Refused(StartRefusal),
    /// The connection was refused: no process listens at the target's address, so that this call
    /// cannot start the run.
    NobodyListens,
    /// The connection broke before the time limit, or the answer was unreadable; the run may have
    /// started or may start later.
    Inconclusive,
    /// No answer came in time; the run may have started or may start later.
    Unanswered,
}
