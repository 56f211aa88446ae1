//! Runs of tasks on hosts, and the messages about them between entries and agents.
//!
//! They serve jobs whose answer comes with the end of the work, and of which nothing is kept.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::ProcessKey;

/// Length of a caller's id, in hexadecimal digits.
pub const CALLER_ID_DIGITS: usize = 16;

/// The id that a caller has chosen for a job: sixteen hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId([u8; CALLER_ID_DIGITS]);

impl CallerId {
    /// Parses an id; returns nothing if the text has another form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; CALLER_ID_DIGITS] = text.as_bytes().try_into().ok()?;
        let is_id = digits.iter().all(u8::is_ascii_hexdigit);
        is_id.then_some(Self(digits))
    }

    /// Returns the id as the caller wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for CallerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl fmt::Debug for CallerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: CallerId,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of the task within the step, from 0.
    pub index: u16,
}

/// A placement of a task on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskRef,
    /// Number of the placement; a task that is placed again gets a higher one.
    pub attempt: u32,
}

/// What a task takes up on a host, or what a host has.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Tells whether `other` fits into this.
    #[must_use]
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mib >= other.memory_mib
            && self.gpus >= other.gpus
    }

    /// Returns what is left without `other`; nothing goes below zero.
    #[must_use]
    pub fn without(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn with(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }
}

/// Part of a host, as a divisor, up to which a task leaves room for another of its size: above
/// it a tenth of the host or more would stand idle for want of an urgent task.
const RESERVE_DIVISOR: u32 = 6;

/// Returns the room that a task should find free before it starts.
///
/// Tasks that are not of the most urgent class leave room for one more, so that an urgent one
/// need not wait for an end; large ones do not, since that would cost too much of the host.
#[must_use]
pub fn wanted_room(needs: &Resources, priority: u8, capacity: &Resources) -> Resources {
    let is_small = needs.cpu_millis <= capacity.cpu_millis / RESERVE_DIVISOR
        && needs.memory_mib <= capacity.memory_mib / RESERVE_DIVISOR
        && needs.gpus == 0;
    if priority == MOST_URGENT || !is_small {
        return *needs;
    }
    needs.with(needs)
}

/// An agent's consent to orders; it expires by the agent's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPermit {
    /// Incarnation of the agent that gave it.
    pub agent: ProcessKey,
    /// When it was given, on the agent's clock, in milliseconds.
    pub issued_ms: u64,
}

/// An order to run tasks of one step of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The job.
    pub job: CallerId,
    /// Number of the step.
    pub step: u16,
    /// The tasks: number within the step, and number of the placement.
    pub tasks: Vec<(u16, u32)>,
    /// What each task executes; passed on as it is.
    pub specification: Rc<str>,
    /// What each task takes up.
    pub needs: Resources,
    /// Expected run time on a target of speed 1, in milliseconds.
    pub estimate_ms: u32,
    /// Time until the tasks should start for the answer to be in time, in milliseconds.
    pub slack_ms: u32,
    /// Longest time that the tasks may wait at the host, in milliseconds.
    pub patience_ms: u32,
    /// Urgency class of the queue; 0 comes first.
    pub priority: u8,
    /// Whether other tasks of the job have started.
    pub is_begun: bool,
}

/// Orders of an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Incarnation of the entry.
    pub from: ProcessKey,
    /// Number of the orders; it grows, and a repetition has the number of the first copy.
    pub number: u64,
    /// The newest permit of the agent that the entry has.
    pub permit: Option<RunPermit>,
    /// Number of the last event that the entry has seen.
    pub seen: u64,
    /// Tasks to run.
    pub starts: Vec<StartOrder>,
    /// Runs to end, or not to start.
    pub stops: Vec<RunId>,
}

/// An entry's question for what has happened at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsRequest {
    /// Incarnation of the entry.
    pub from: ProcessKey,
    /// The newest permit of the agent that the entry has.
    pub permit: Option<RunPermit>,
    /// Number of the last event that the entry has seen.
    pub seen: u64,
    /// How long the agent may wait for an event, in milliseconds.
    pub wait_ms: u32,
}

/// How a run ended.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the target's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// It ended without a result: the target went away, or its lease lapsed.
    Lost,
}

/// Why a run was not started.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum NotStarted {
    /// No room came free in the time that the order allowed.
    NoRoom,
    /// The order's permit had expired.
    PermitExpired,
    /// The target is leaving.
    Draining,
    /// The agent has no working target.
    NoTarget,
    /// The target refused the task as malformed.
    Malformed,
    /// The entry withdrew the order.
    Withdrawn,
    /// Another run of the task is at the host.
    Occupied,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEvent {
    /// The run began.
    Started,
    /// The run has ended, after this time in milliseconds.
    Ended(RunEnd, u32),
    /// The run was not started and never will be.
    NotStarted(NotStarted),
    /// The run makes no progress.
    Stalled,
}

/// What a host has to offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Whether tasks may be sent.
    pub is_open: bool,
    /// Group of interchangeable targets that the host belongs to, as the configuration names it.
    pub group: Rc<str>,
    /// Labels of the target: its kind and its rack.
    pub labels: Vec<Rc<str>>,
    /// Everything that the host has.
    pub capacity: Resources,
    /// What nothing runs on.
    pub free: Resources,
    /// Work ahead: processor of what runs and waits times the time it still takes, in core
    /// milliseconds.
    pub backlog_core_ms: u32,
    /// Of the work ahead, what has not started, in core milliseconds.
    pub waiting_core_ms: u32,
    /// Of what has not started, the part of the most urgent class, in core milliseconds.
    pub urgent_core_ms: u32,
    /// Speed of the target compared with the estimates, in thousandths.
    pub speed_permille: u32,
}

/// An agent's answer to orders and to questions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Permit for further orders.
    pub permit: RunPermit,
    /// Whether every run of an earlier incarnation of the agent has ended.
    pub is_inheritance_clear: bool,
    /// What the host has to offer.
    pub view: HostView,
    /// What became of orders, in order: number of the event, run, event.
    pub events: Vec<(u64, RunId, RunEvent)>,
}

/// Urgency class of the queues that come before all others.
pub const MOST_URGENT: u8 = 0;

/// Beginning of the keys under which agents register in the platform's store.
pub const HOSTS_PREFIX: &str = "shallotcross/hosts/";

/// What an agent registers about its host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRegistration {
    /// Name of the host.
    pub name: String,
    /// Address of the agent, as `ip:port`.
    pub address: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// The last report of the target, for the next agent of the host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<RegisteredTarget>,
}

/// What an agent registers about its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredTarget {
    /// Identity of the target.
    pub instance: String,
    /// When this life of the target began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Number of the report.
    pub sequence: u64,
    /// Group of interchangeable targets.
    pub group: String,
    /// Labels: kind and rack.
    pub labels: Vec<String>,
    /// Everything that the target has.
    pub capacity: Resources,
    /// Whether the target is leaving.
    pub is_draining: bool,
}
