//! Runs of tasks on hosts, and the messages about them between entries and agents.
//!
//! Used for jobs that belong to no shard: each is answered when it has ended, and no state is
//! persisted. Fields have short names on the wire, since these messages are the most frequent ones.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    EvacuationsDigest, EvacuationsReport, KindKey, Neighbors, ProcessKey, QueueQuarantine,
};
use crate::{named_only, resources_row};

/// Time after which a caller sends a job again when it was answered that the outcome is unknown, or was
/// not answered, in milliseconds; defined by the callers' interface.
pub const CALLER_RETRY_MS: u64 = 1_300;

/// Length of a job's id, in hexadecimal digits.
pub const JOB_ID_DIGITS: usize = 16;

/// The id that a caller has chosen for a job: sixteen hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId([u8; JOB_ID_DIGITS]);

impl JobId {
    /// Parses an id; returns `None` unless the text is sixteen hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; JOB_ID_DIGITS] = text.as_bytes().try_into().ok()?;
        let is_id = digits.iter().all(u8::is_ascii_hexdigit);
        is_id.then_some(Self(digits))
    }

    /// Returns the id as the caller wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identifies a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Number of the step, from 0.
    #[serde(rename = "s")]
    pub step: u16,
    /// Number of the task within the step, from 0.
    #[serde(rename = "i")]
    pub index: u16,
}

/// Identifies one run of a task: one attempt to run it on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    #[serde(rename = "t")]
    pub task: TaskRef,
    /// Number of the attempt; a task that is placed again gets a higher one.
    #[serde(rename = "a")]
    pub attempt: u32,
}

/// Resources that a task needs, or that a host has.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of GPUs.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether `other` fits into these resources.
    #[must_use]
    pub fn can_fit(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mib >= other.memory_mib
            && self.gpus >= other.gpus
    }

    /// Returns the difference, with each resource at least zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns the sum, saturating at the maximum.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }
}

/// A task is small if it needs no GPU and at most the host's CPU and memory divided by this.
///
/// If larger tasks had a reserve too, a tenth of the host or more would be idle whenever there is
/// no urgent task.
const SMALL_TASK_DIVISOR: u32 = 6;

/// Returns the resources that must be free for a task to start.
///
/// A small task that is not of the most urgent class needs twice its resources free: this leaves
/// room for an urgent task to start without waiting for a run to end. Large tasks keep no such
/// reserve, since it would cost too much of the host.
#[must_use]
pub fn required_free_resources(needs: &Resources, priority: u8, capacity: &Resources) -> Resources {
    let is_small = needs.cpu_millis <= capacity.cpu_millis / SMALL_TASK_DIVISOR
        && needs.memory_mib <= capacity.memory_mib / SMALL_TASK_DIVISOR
        && needs.gpus == 0;
    if priority == MOST_URGENT || !is_small {
        return *needs;
    }
    needs.saturating_add(needs)
}

/// Permission from an agent to send it orders; its expiry is checked on the agent's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPermit {
    /// Incarnation of the agent that issued the permit.
    #[serde(rename = "a")]
    pub agent: ProcessKey,
    /// Time of issue on the agent's clock, in milliseconds.
    #[serde(rename = "i")]
    pub issued_ms: u64,
}

/// An order to run tasks of one step of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Number of the step.
    #[serde(rename = "s")]
    pub step: u16,
    /// The tasks, each as its number within the step and the number of the attempt.
    #[serde(rename = "t")]
    pub tasks: Vec<(u16, u32)>,
    /// What each task executes; passed to the target unchanged.
    #[serde(rename = "sp")]
    pub specification: Rc<str>,
    /// Resources that each task needs.
    #[serde(rename = "n", with = "resources_row")]
    pub needs: Resources,
    /// Expected run time on a target of speed 1, in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u32,
    /// Standard deviation of the logarithm of the expected run time, in thousandths.
    #[serde(rename = "d")]
    pub log_deviation_permille: u16,
    /// Time by which the tasks should start to meet the job's deadline, in milliseconds from now.
    #[serde(rename = "sl")]
    pub slack_ms: u32,
    /// Maximum time that the tasks may be queued at the host, in milliseconds.
    #[serde(rename = "q")]
    pub queue_timeout_ms: u32,
    /// Urgency class of the queue; [`MOST_URGENT`] comes first.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Whether any task of the job, these included, has started before, or may have.
    #[serde(rename = "st")]
    pub has_started_tasks: bool,
    /// Kind of the tasks, by queue and step.
    #[serde(rename = "k")]
    pub kind: KindKey,
    /// Whether the target is away from the data of the tasks, so that they take longer there.
    #[serde(rename = "r")]
    pub is_data_remote: bool,
    /// Number of the target in the view that the tasks were placed by; `None` from peers that do not
    /// tell it.
    #[serde(
        rename = "tn",
        default,
        with = "named_only",
        skip_serializing_if = "Option::is_none"
    )]
    pub target_number: Option<u32>,
}

/// Orders of an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Incarnation of the entry.
    #[serde(rename = "f")]
    pub from: ProcessKey,
    /// Sequence number of the orders; a resend has the same number.
    #[serde(rename = "n")]
    pub number: u64,
    /// The newest permit of the agent that the entry has.
    #[serde(rename = "p")]
    pub permit: Option<RunPermit>,
    /// Number of the last event that the entry has seen.
    #[serde(rename = "l")]
    pub last_seen_event: u64,
    /// Tasks to run.
    #[serde(rename = "s")]
    pub starts: Vec<StartOrder>,
    /// Runs to stop, or not to start if they have not started yet.
    #[serde(rename = "x")]
    pub stops: Vec<RunId>,
}

/// An entry's long poll for events at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdateRequest {
    /// Incarnation of the entry.
    #[serde(rename = "f")]
    pub from: ProcessKey,
    /// The newest permit of the agent that the entry has.
    #[serde(rename = "p")]
    pub permit: Option<RunPermit>,
    /// Number of the last event that the entry has seen.
    #[serde(rename = "l")]
    pub last_seen_event: u64,
    /// How long the agent may wait for an event before it answers, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// Digest of the newest set of evacuations that the entry knows; `None` if it follows none.
    #[serde(rename = "e")]
    pub evacuations: Option<EvacuationsDigest>,
    /// The quarantines that the entry knows.
    #[serde(rename = "q")]
    pub quarantines: Vec<QueueQuarantine>,
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
    /// The task completed.
    Done,
    /// The task failed, because of its own error or the target's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The run ended without a result, such as when the target has left or the runs' lease expired.
    Lost,
    /// The target crashed while the run was there.
    Crashed,
    /// The target crashed right after it had started the run and runs of other jobs, any of which may
    /// be the cause.
    CrashedAtStart,
    /// The target crashed right after it had started the run, and only runs of the same job, which is
    /// the likely cause.
    CausedCrash,
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
pub enum NotStartedReason {
    /// Not enough resources became free in the time that the order allowed.
    NoRoom,
    /// The order's permit had expired.
    PermitExpired,
    /// The target or the agent is draining.
    Draining,
    /// The agent has no working target.
    NoTarget,
    /// The target refused the task as malformed.
    Malformed,
    /// The entry withdrew the order.
    Withdrawn,
    /// The host already has another run of the task.
    Occupied,
    /// The operator has evacuated the failure domain of the host.
    Evacuated,
}

/// How long a run was queued at its host and how long it ran there.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDurations {
    /// Time from the order to the start, in milliseconds.
    #[serde(rename = "w")]
    pub waited_ms: u32,
    /// Time from the start to the end, in milliseconds.
    #[serde(rename = "r")]
    pub ran_ms: u32,
    /// Whether more than half of the host's cores were in use by other runs when the run started.
    #[serde(rename = "b")]
    pub was_host_busy: bool,
}

/// Event of a run that an entry ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEvent {
    /// The run has started.
    #[serde(rename = "s")]
    Started,
    /// The run has ended.
    #[serde(rename = "e")]
    Ended(RunEnd, RunDurations),
    /// The run was not started and never will be.
    #[serde(rename = "n")]
    NotStarted(NotStartedReason),
    /// The run makes no progress.
    #[serde(rename = "x")]
    Stalled,
}

/// Capacity and load of a host, as its agent reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Whether the host accepts tasks.
    #[serde(rename = "o")]
    pub is_open: bool,
    /// Time in which tasks must have ended because the agent shuts down, in milliseconds; `None` if
    /// it does not.
    #[serde(rename = "cl")]
    pub closes_in_ms: Option<u32>,
    /// Group of interchangeable targets that the host belongs to, as the configuration names it.
    #[serde(rename = "g")]
    pub group: Rc<str>,
    /// Labels of the target: its kind and its rack.
    #[serde(rename = "l")]
    pub labels: Vec<Rc<str>>,
    /// Total resources of the host.
    #[serde(rename = "c", with = "resources_row")]
    pub capacity: Resources,
    /// Resources that no run uses.
    #[serde(rename = "f", with = "resources_row")]
    pub free: Resources,
    /// Remaining work of running and queued tasks: the CPU of each multiplied by its expected
    /// remaining run time, in core milliseconds.
    #[serde(rename = "b")]
    pub backlog_core_ms: u32,
    /// The part of the backlog that has not started, in core milliseconds.
    #[serde(rename = "w")]
    pub waiting_core_ms: u32,
    /// The part of the queued work that is of the most urgent class, in core milliseconds.
    #[serde(rename = "u")]
    pub urgent_core_ms: u32,
    /// Speed of the target relative to the estimates, in thousandths.
    #[serde(rename = "s")]
    pub speed_permille: u32,
    /// Standard deviation of the logarithm of that speed, in thousandths.
    #[serde(rename = "d")]
    pub speed_log_deviation_permille: u16,
    /// Resources expected to be free for a further task, in the order of time; the first is the
    /// state once all queued tasks have started. Empty without a target.
    #[serde(rename = "op")]
    pub openings: Vec<Opening>,
    /// The same for a task of the most urgent class, which waits only for queued ones of its class.
    #[serde(rename = "uo")]
    pub urgent_openings: Vec<Opening>,
    /// Kinds of task on the host, and how they slow each other down; empty unless the agent records
    /// that.
    #[serde(rename = "n")]
    pub neighbors: Neighbors,
    /// Number of the target that the view is of: each incarnation has another one, which the agent
    /// counts. `None` without a target, and from peers that do not tell it.
    #[serde(
        rename = "tn",
        default,
        with = "named_only",
        skip_serializing_if = "Option::is_none"
    )]
    pub target_number: Option<u32>,
}

/// Resources expected to be free on a host from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Time from the making of the view, in milliseconds.
    #[serde(rename = "i")]
    pub in_ms: u32,
    /// Resources that no run is expected to use then.
    #[serde(rename = "f", with = "resources_row")]
    pub free: Resources,
}

/// An agent's answer to [`Orders`] and to a [`HostUpdateRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdate {
    /// Permit for further orders.
    #[serde(rename = "p")]
    pub permit: RunPermit,
    /// Whether every run of an earlier incarnation of the agent has ended.
    #[serde(rename = "ne")]
    pub has_no_earlier_runs: bool,
    /// Capacity and load of the host.
    #[serde(rename = "v")]
    pub view: HostView,
    /// Events in order, each as its sequence number, the run and the event.
    #[serde(rename = "ev")]
    pub events: Vec<(u64, RunId, RunEvent)>,
    /// What the agent knows of evacuations; only in the answer to an update request that has a
    /// digest, and if the agent follows evacuations.
    #[serde(rename = "e")]
    pub evacuations: Option<EvacuationsReport>,
    /// The quarantines that the agent has learned from entries.
    #[serde(rename = "q")]
    pub quarantines: Vec<QueueQuarantine>,
}

/// Urgency class of the queues that are served before all others.
pub const MOST_URGENT: u8 = 0;

/// Prefix of the keys under which agents register in the platform's store.
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
    /// Last report of the target, for the next incarnation of the agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<RegisteredTarget>,
}

/// What an agent registers about its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredTarget {
    /// Identity of the target.
    pub instance: String,
    /// When this incarnation of the target started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Group of interchangeable targets.
    pub group: String,
    /// Labels: kind and rack.
    pub labels: Vec<String>,
    /// Total resources of the target.
    pub capacity: Resources,
    /// Whether the target is draining.
    pub is_draining: bool,
}
