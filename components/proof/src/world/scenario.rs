//! What a run does besides its normal work: steps, faults and when they strike.

use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

use crate::fault::FaultKind;

/// Steps of a job's, a process's or a configuration's way through the system.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// An entry reads a copy of a submission.
    Accept,
    /// An entry receives a copy that another one forwarded.
    Route,
    /// An owner admits a job.
    Admit,
    /// An owner sends tasks to an agent.
    Place,
    /// An agent starts a task at its target.
    Start,
    /// A target runs a task.
    Run,
    /// An agent takes in the outcome of a task.
    Finish,
    /// An owner takes in the outcome of a task.
    Collect,
    /// An owner answers a copy.
    Answer,
    /// An owner cancels a job.
    Cancel,
    /// An owner receives a copy of a known job.
    Resubmit,
    /// An entry takes in an agent's announcement.
    Announce,
    /// An entry that stops hands a shard over.
    Drain,
    /// An entry takes a shard over.
    TakeOver,
    /// An operator publishes a configuration.
    Publish,
    /// A process puts a configuration in force.
    Apply,
}

impl Step {
    /// Returns the event that leads to the step, where normal work does not.
    #[must_use]
    pub fn base_event(self) -> BaseEvent {
        match self {
            Self::Drain => BaseEvent::StopEntry,
            Self::TakeOver => BaseEvent::KillEntry,
            _ => BaseEvent::Calm,
        }
    }
}

/// What happens in a run before any fault of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BaseEvent {
    /// Nothing.
    Calm,
    /// An entry that owns a shard dies.
    KillEntry,
    /// An entry that owns a shard is stopped as planned.
    StopEntry,
}

/// When a fault strikes, relative to its step.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Timing {
    /// Before the process handles the event of the step.
    Before,
    /// After the process has decided and before what it sends leaves.
    During,
    /// Shortly after what it sends has left.
    After,
}

/// Faults of the matrix.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum MatrixFault {
    /// The process of the step dies and another starts in its place.
    Kill,
    /// A process at the other end of the step dies.
    KillPeer,
    /// The process of the step is paused for longer than every time-out, then resumed.
    Pause,
    /// A process at the other end of the step is paused.
    PausePeer,
    /// Messages of the process are lost in one direction.
    CutOneWay,
    /// The process is cut off in both directions from some of the others.
    CutBothWays,
    /// Messages of the process take seconds.
    Delay,
    /// Messages of the process arrive twice.
    Duplicate,
    /// Messages of the process overtake each other.
    Reorder,
    /// Messages of the process are lost at random.
    Loss,
    /// The platform is down.
    PlatformDown,
    /// The platform takes seconds.
    PlatformSlow,
    /// Answers of the platform are lost, before or after the effect.
    PlatformAnswerLost,
    /// The process is stopped as planned.
    PlannedStop,
    /// All entries are replaced, one after the other.
    RollingReplacement,
}

impl MatrixFault {
    /// Returns the kind under which the fault is counted.
    #[must_use]
    pub fn kind(self) -> FaultKind {
        match self {
            Self::Kill | Self::KillPeer => FaultKind::Kill,
            Self::Pause | Self::PausePeer => FaultKind::Pause,
            Self::CutOneWay => FaultKind::CutOneWay,
            Self::CutBothWays => FaultKind::CutBothWays,
            Self::Delay => FaultKind::Delay,
            Self::Duplicate => FaultKind::Duplicate,
            Self::Reorder => FaultKind::Reorder,
            Self::Loss => FaultKind::Loss,
            Self::PlatformDown => FaultKind::PlatformDown,
            Self::PlatformSlow => FaultKind::PlatformSlow,
            Self::PlatformAnswerLost => FaultKind::PlatformAnswerLost,
            Self::PlannedStop | Self::RollingReplacement => FaultKind::PlannedStop,
        }
    }
}

/// A fault at one event of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Injection {
    /// Number of the event in the run.
    pub event: u64,
    /// When it strikes.
    pub timing: Timing,
    /// The fault.
    pub fault: MatrixFault,
}

/// An occurrence of a step in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occurrence {
    /// The step.
    pub step: Step,
    /// Number of the event in the run.
    pub event: u64,
    /// Time of the event.
    pub at_us: u64,
}

/// A guard that is left out, to show that a checker notices.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// One of an entry's.
    Dispatch(dispatch::Mutation),
    /// One of an agent's.
    Execution(execution::Mutation),
}

/// What one run is made of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Seed of everything random.
    pub seed: u64,
    /// What happens before the faults.
    pub base_event: BaseEvent,
    /// The faults.
    pub injections: Vec<Injection>,
    /// The guards that are left out.
    #[cfg(feature = "mutants")]
    pub mutants: Vec<Mutant>,
}

impl Scenario {
    /// Describes a run without faults.
    #[must_use]
    pub fn without_faults(seed: u64) -> Self {
        Self::new(seed, BaseEvent::Calm)
    }

    /// Describes a run with nothing but its base.
    #[must_use]
    pub fn new(seed: u64, base_event: BaseEvent) -> Self {
        Self {
            seed,
            base_event,
            injections: Vec::new(),
            #[cfg(feature = "mutants")]
            mutants: Vec::new(),
        }
    }

    /// Adds a fault.
    #[must_use]
    pub fn with(mut self, injection: Injection) -> Self {
        self.injections.push(injection);
        self
    }

    /// Leaves out a guard.
    #[cfg(feature = "mutants")]
    #[must_use]
    pub fn mutant(mut self, mutant: Mutant) -> Self {
        self.mutants.push(mutant);
        self
    }
}
