//! Messages between the owner of a shard and the agents.
//!
//! A message may be lost, duplicated, delayed or reordered: both sides handle messages
//! idempotently and resend what was not acknowledged. Fields have short names on the wire, since these
//! messages are frequent.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{EnumIter, IntoStaticStr};

use crate::job::JobMeta;
use crate::keys::{Attempt, FirmKey, Generation, JobKey, KindKey, ProcessKey, ShardKey, TaskKey};

/// Messages from one entry to one agent, sent together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerEnvelope {
    /// Incarnation of the sender.
    #[serde(rename = "f")]
    pub from: ProcessKey,
    /// Address of the sender for other processes of the system, as `ip:port`.
    #[serde(rename = "a")]
    pub from_address: String,
    /// Incarnation of the agent that the messages are meant for.
    #[serde(rename = "t")]
    pub to: ProcessKey,
    /// The messages, in order.
    #[serde(rename = "m")]
    pub messages: Vec<OwnerMessage>,
}

/// Messages from one agent to one entry, sent together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentEnvelope {
    /// Incarnation of the agent.
    #[serde(rename = "f")]
    pub from: ProcessKey,
    /// Incarnation of the entry that the messages are meant for.
    #[serde(rename = "t")]
    pub to: ProcessKey,
    /// Load of the agent, with the window for this entry.
    #[serde(rename = "l")]
    pub load: Load,
    /// The messages, in order.
    #[serde(rename = "m")]
    pub messages: Vec<AgentMessage>,
}

/// A message from the owner of a shard to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Fences off older generations and requests the agent's records of the shard.
    Fence(Fence),
    /// Shows that the owner is alive and asks the agent to confirm its ownership.
    Heartbeat(Heartbeat),
    /// Starts tasks of one job.
    Start(Start),
    /// Revokes tasks that have not started.
    Revoke {
        /// The shard of the job.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// Generation of the sender.
        #[serde(rename = "g")]
        generation: Generation,
        /// The tasks, each with its newest attempt.
        #[serde(rename = "t")]
        tasks: Vec<(TaskKey, Attempt)>,
        /// Whether tasks that have started are to be stopped as well.
        #[serde(rename = "x")]
        abort: bool,
    },
    /// Acknowledges outcomes, so that the agent does not resend them.
    Received {
        /// The shard of the tasks.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The tasks whose outcomes arrived.
        #[serde(rename = "t")]
        tasks: Vec<TaskKey>,
    },
    /// Reports that jobs have their final answers; at its memory limit the agent drops their
    /// results before those of other jobs.
    Settled {
        /// The shard of the jobs.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The jobs.
        #[serde(rename = "j")]
        jobs: Vec<JobKey>,
    },
    /// Replaces the agent's rules by newer ones.
    Configure(Rules),
}

/// Makes an agent refuse starts from generations of `shard` older than `generation`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: ShardKey,
    /// Oldest generation whose starts are accepted.
    #[serde(rename = "g")]
    pub generation: Generation,
}

/// Shows that an owner is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time of sending on the owner's monotonic clock; echoed by the agent.
    #[serde(rename = "t")]
    pub sent_us: u64,
    /// The shards that the sender owns and that involve the agent.
    #[serde(rename = "s")]
    pub shards: Vec<ShardHeartbeat>,
}

/// One shard in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHeartbeat {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: ShardKey,
    /// Generation of the owner.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// Number of tasks queued at the owner for a target of the agent's group.
    #[serde(rename = "b")]
    pub backlog: u32,
}

/// Starts tasks of one job at one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The shard of the job.
    #[serde(rename = "s")]
    pub shard: ShardKey,
    /// Generation of the owner.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// Permit last received from the agent.
    #[serde(rename = "p")]
    pub permit: Permit,
    /// The job.
    #[serde(rename = "j")]
    pub job: JobMeta,
    /// Time until the job's deadline when the message was built, in microseconds.
    #[serde(rename = "r")]
    pub remaining_us: u64,
    /// The tasks to start.
    #[serde(rename = "t")]
    pub tasks: Vec<TaskStart>,
}

/// One task in a start message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Position of the task in the job.
    #[serde(rename = "i")]
    pub index: u16,
    /// Number of the attempt.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// Kind of the task.
    #[serde(rename = "k")]
    pub kind: KindKey,
    /// Run time that the owner expects, in microseconds.
    #[serde(rename = "e")]
    pub expected_us: u64,
    /// Request body for the target.
    #[serde(rename = "p")]
    pub payload: Bytes,
}

/// Permission from an agent to send it tasks; its expiry is checked on the agent's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Incarnation of the agent that issued the permit.
    #[serde(rename = "a")]
    pub agent: ProcessKey,
    /// Expiry on the agent's monotonic clock, in microseconds.
    #[serde(rename = "e")]
    pub expires_us: u64,
}

/// Load of an agent, sent with every envelope.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of tasks that the receiving entry may have outstanding at the agent.
    #[serde(rename = "w")]
    pub window: u16,
    /// Number of tasks running at the target.
    #[serde(rename = "r")]
    pub running: u16,
    /// Number of tasks queued at the agent.
    #[serde(rename = "q")]
    pub queued: u16,
    /// Whether the agent has a target that is not in back-off, and is not draining.
    #[serde(rename = "ok")]
    pub ready: bool,
    /// Revision of the rules in force at the agent.
    #[serde(rename = "c")]
    pub config_revision: u64,
}

/// A message from an agent to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Answers a fence with the agent's records of the shard, in one or more parts.
    Fenced {
        /// The shard.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// Newest generation at the agent; newer than that of the fence if the fence was stale.
        #[serde(rename = "g")]
        generation: Generation,
        /// Position of this part of the answer, from zero.
        #[serde(rename = "p")]
        part: u32,
        /// Number of parts.
        #[serde(rename = "n")]
        part_count: u32,
        /// The jobs of this part.
        #[serde(rename = "j")]
        jobs: Vec<JobRecord>,
    },
    /// Answers a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Acknowledges tasks, which the agent will start or refuse.
    Accepted {
        /// The shard of the tasks.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The tasks with their attempts.
        #[serde(rename = "t")]
        tasks: Vec<(TaskKey, Attempt)>,
    },
    /// Reports that an attempt has not started at this agent and never will.
    Refused {
        /// The shard of the task.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The task.
        #[serde(rename = "t")]
        task: TaskKey,
        /// Newest attempt that will not start; neither will earlier ones.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// Why the attempt was refused.
        #[serde(rename = "r")]
        reason: RefusalReason,
    },
    /// Reports that a task could not be revoked because it has started.
    RevokeFailed {
        /// The shard of the task.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The task.
        #[serde(rename = "t")]
        task: TaskKey,
        /// The attempt that started.
        #[serde(rename = "a")]
        attempt: Attempt,
    },
    /// Reports the outcome of a task that started.
    Finished {
        /// The shard of the task.
        #[serde(rename = "s")]
        shard: ShardKey,
        /// The task.
        #[serde(rename = "t")]
        task: TaskKey,
        /// The attempt that started.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// How the task ended.
        #[serde(rename = "o")]
        outcome: TaskOutcome,
        /// Time from the start at the target to the outcome, in microseconds.
        #[serde(rename = "u")]
        ran_us: u64,
    },
}

/// Answers a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Time of sending of the heartbeat on the owner's clock.
    #[serde(rename = "t")]
    pub sent_us: u64,
    /// The shards whose newest generation at the agent is the one in the heartbeat.
    #[serde(rename = "s")]
    pub shards: Vec<(ShardKey, Generation)>,
    /// New permit for the owner.
    #[serde(rename = "p")]
    pub permit: Permit,
}

/// An agent's record of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    #[serde(rename = "m")]
    pub meta: JobMeta,
    /// The tasks that the agent knows.
    #[serde(rename = "t")]
    pub tasks: Vec<TaskRecord>,
}

/// An agent's record of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Position of the task in the job.
    #[serde(rename = "i")]
    pub index: u16,
    /// The newest attempt known.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// State of that attempt.
    #[serde(rename = "s")]
    pub state: TaskState,
}

/// State of a task at an agent, as reported to a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not started at this agent; this and earlier attempts never will be.
    NotStarted,
    /// Started; no outcome yet.
    Running,
    /// Started and finished.
    Finished(TaskOutcome),
    /// Started and finished; the result has been dropped.
    ResultDropped,
}

/// Outcome of a task that started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The target returned a result.
    Done(Bytes),
    /// The target reported that the task failed.
    Failed(String),
    /// The connection broke or timed out after the task was sent.
    Unknown(String),
}

/// Why an agent refused a task.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The generation is older than the newest known.
    StaleGeneration,
    /// The agent has received no fence of this generation.
    Unfenced,
    /// The permit has expired or was issued by another incarnation.
    PermitExpired,
    /// The job's deadline passed while the task was queued.
    DeadlinePassed,
    /// The owner revoked the task.
    Revoked,
    /// The agent is draining.
    Draining,
    /// The agent's queue is full.
    QueueFull,
    /// There is no live target, or connecting to it failed.
    TargetDown,
    /// The target refused the task before starting it.
    TargetRefused,
    /// The agent has a tombstone for the attempt: it was refused or revoked earlier.
    Tombstoned,
}

/// Rules that agents apply, a part of the operators' configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Revision of the configuration; rules are replaced only by those of a higher revision.
    pub revision: u64,
    /// Shares of the firms at shared targets.
    pub shares: Vec<FirmShare>,
}

/// One firm's share of a target that several firms use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirmShare {
    /// The firm.
    pub firm: FirmKey,
    /// Relative weight; at least one.
    pub weight: u32,
}
