//! What a target says.

use std::rc::Rc;

use model::{Resources, TaskRef};

/// A target's report about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity of the target.
    pub instance: Rc<str>,
    /// When this life of the target began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Number of the report; it grows within a life.
    pub sequence: u64,
    /// Group of interchangeable targets.
    pub group: Rc<str>,
    /// Labels: kind and rack.
    pub labels: Vec<Rc<str>>,
    /// Everything that the target has.
    pub capacity: Resources,
    /// Whether the target is leaving.
    pub is_draining: bool,
}

/// A run that the target lists as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub number: u32,
    /// Share of the work that is done.
    pub percent: u8,
}

/// How a run ended, by the target's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum TargetEnd {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another run that it depends on ended.
    Broken,
}

/// A run that the target lists as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end within this life of the target.
    pub sequence: u64,
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub number: u32,
    /// How it ended.
    pub end: TargetEnd,
}

/// A target's account of its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holding {
    /// When this life of the target began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// The target's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What has ended and has not been acknowledged.
    pub ended: Vec<EndedRun>,
    /// Number of the last listed end, also of those that cannot be read.
    pub last_sequence: u64,
}

/// Result of asking the target for its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldOutcome {
    /// The target answered.
    Held(Holding),
    /// The target has seen a higher fencing token.
    StaleToken,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// Nobody listens at the target's address.
    NobodyListens,
    /// The target refused the call, or no answer came.
    Unanswered,
}

/// Why a target refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum StartRefusal {
    /// The target has seen a higher fencing token.
    StaleToken,
    /// A run of the task with this number or a higher one has been here.
    OldNumber,
    /// The lease had ended on arrival.
    LeaseOver,
    /// The task does not fit.
    NoRoom,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// The target is overloaded or unhealthy.
    Unhealthy,
    /// The target cannot read the order.
    Malformed,
}

/// Result of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// It does not run, and this start never will.
    Refused(StartRefusal),
    /// No answer came; it may run, now or later.
    Unanswered,
}
