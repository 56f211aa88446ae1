//! Scenarios of runs: the steps of the system and the faults injected at them.

use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

use crate::fault::FaultKind;

/// Steps in the life cycle of a job, a process or a configuration.
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
    /// An agent receives the outcome of a task from its target.
    Finish,
    /// An owner receives the outcome of a task from an agent.
    Collect,
    /// An owner answers a copy.
    Answer,
    /// An owner cancels a job.
    Cancel,
    /// An owner receives a copy of a known job.
    Resubmit,
    /// An entry receives an agent's announcement.
    Announce,
    /// A stopping entry hands a shard over to another one.
    Drain,
    /// An entry takes over a shard whose owner failed.
    TakeOver,
    /// An operator publishes a configuration.
    Publish,
    /// A process puts a configuration in force.
    Apply,
}

impl Step {
    /// Returns the base event that the step needs in order to occur.
    #[must_use]
    pub fn base_event(self) -> BaseEvent {
        match self {
            Self::Drain => BaseEvent::StopEntry,
            Self::TakeOver => BaseEvent::KillEntry,
            _ => BaseEvent::Calm,
        }
    }
}

/// An event in the early part of a run that some steps need in order to occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BaseEvent {
    /// No event.
    Calm,
    /// An entry that owns a shard is killed.
    KillEntry,
    /// An entry that owns a shard is stopped gracefully.
    StopEntry,
}

/// Time at which a fault is injected, relative to its step.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Timing {
    /// Before the process handles the event of the step.
    Before,
    /// After the process has decided and before its messages are sent.
    During,
    /// Shortly after its messages are sent.
    After,
}

/// Faults of the matrix.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum MatrixFault {
    /// The process of the step is killed and restarted.
    Kill,
    /// A peer of the process in the step is killed and restarted.
    KillPeer,
    /// The process of the step is paused, in some runs for longer than every timeout, then resumed.
    Pause,
    /// A peer of the process in the step is paused, then resumed.
    PausePeer,
    /// Messages between the process and some of the others are lost in one direction.
    CutOneWay,
    /// The process is cut off in both directions from some of the others.
    CutBothWays,
    /// Messages of the process are delayed, by up to seconds.
    Delay,
    /// Messages of the process are delivered twice.
    Duplicate,
    /// Messages of the process are reordered.
    Reorder,
    /// Messages of the process are lost at random.
    Loss,
    /// The platform is down.
    PlatformDown,
    /// The platform answers slowly, after up to seconds.
    PlatformSlow,
    /// Answers of the platform are lost, before or after the effect.
    PlatformAnswerLost,
    /// The process is stopped gracefully.
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
    /// When the fault is injected, relative to the event.
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

/// A guard that is removed, to test that a checker detects its absence.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A guard of an entry.
    Dispatch(dispatch::Mutation),
    /// A guard of an agent.
    Execution(execution::Mutation),
}

/// Description of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// The base event.
    pub base_event: BaseEvent,
    /// The faults.
    pub injections: Vec<Injection>,
    /// The guards that are removed.
    #[cfg(feature = "mutants")]
    pub mutants: Vec<Mutant>,
}

impl Scenario {
    /// Describes a run without faults and without a base event.
    #[must_use]
    pub fn without_faults(seed: u64) -> Self {
        Self::new(seed, BaseEvent::Calm)
    }

    /// Describes a run with a base event and no further faults.
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

    /// Removes a guard.
    #[cfg(feature = "mutants")]
    #[must_use]
    pub fn mutant(mut self, mutant: Mutant) -> Self {
        self.mutants.push(mutant);
        self
    }
}
