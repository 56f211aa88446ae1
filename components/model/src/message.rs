//! Messages between the owner of a shard and the agents.
//!
//! Each message may be lost, repeated, delayed or reordered: both sides treat them
//! as idempotent and send again what was not acknowledged.

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
    pub from: ProcessKey,
    /// Address of the sender for other processes of the system, as `ip:port`.
    pub from_address: String,
    /// Incarnation of the agent that the messages are meant for.
    pub to: ProcessKey,
    /// The messages, in order.
    pub messages: Vec<OwnerMessage>,
}

/// Messages from one agent to one entry, sent together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentEnvelope {
    /// Incarnation of the agent.
    pub from: ProcessKey,
    /// Incarnation of the entry that the messages are meant for.
    pub to: ProcessKey,
    /// Load of the agent as the entry is to see it.
    pub load: Load,
    /// The messages, in order.
    pub messages: Vec<AgentMessage>,
}

/// A message from the owner of a shard to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Makes a generation the newest and asks for what is held of the shard.
    Fence(Fence),
    /// Shows that the owner lives and asks for evidence of its ownership.
    Heartbeat(Heartbeat),
    /// Starts tasks of one job.
    Start(Start),
    /// Takes back tasks that have not started.
    Revoke {
        /// The shard of the job.
        shard: ShardKey,
        /// Generation of the sender.
        generation: Generation,
        /// The tasks with the newest attempt sent.
        tasks: Vec<(TaskKey, Attempt)>,
        /// Whether tasks that have started are to be stopped as well.
        abort: bool,
    },
    /// Acknowledges outcomes; the agent need not send them again.
    Received {
        /// The shard of the tasks.
        shard: ShardKey,
        /// The tasks whose outcomes arrived.
        tasks: Vec<TaskKey>,
    },
    /// Tells that jobs have their final answers; the agent may drop their results first.
    Settled {
        /// The shard of the jobs.
        shard: ShardKey,
        /// The jobs.
        jobs: Vec<JobKey>,
    },
    /// Puts newer rules in force.
    Configure(Rules),
}

/// Makes `generation` the newest of `shard` at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The shard.
    pub shard: ShardKey,
    /// The generation from which on starts are accepted.
    pub generation: Generation,
}

/// Shows that an owner lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time of sending on the owner's monotonic clock; echoed by the agent.
    pub sent_us: u64,
    /// The shards that the sender owns and that involve the agent.
    pub shards: Vec<ShardBeat>,
}

/// One shard in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBeat {
    /// The shard.
    pub shard: ShardKey,
    /// Generation of the owner.
    pub generation: Generation,
    /// Tasks that wait at the owner for a target of the agent's group.
    pub backlog: u32,
}

/// Starts tasks of one job at one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The shard of the job.
    pub shard: ShardKey,
    /// Generation of the owner.
    pub generation: Generation,
    /// Permit last received from the agent.
    pub permit: Permit,
    /// The job.
    pub job: JobMeta,
    /// Time left until the job's deadline when the message was made, in microseconds.
    pub remaining_us: u64,
    /// The tasks to start.
    pub tasks: Vec<TaskStart>,
}

/// One task in a start message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Position of the task in the job.
    pub index: u16,
    /// Number of the placement.
    pub attempt: Attempt,
    /// Kind of the task.
    pub kind: KindKey,
    /// Run time the owner expects, in microseconds.
    pub expected_us: u64,
    /// Body for the target.
    pub payload: Bytes,
}

/// An agent's leave to be sent tasks, valid on the agent's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Incarnation of the agent that issued the permit.
    pub agent: ProcessKey,
    /// Time on the agent's monotonic clock after which it refuses the permit.
    pub expires_us: u64,
}

/// Load of an agent, sent with every envelope.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks that the receiving entry may have outstanding at the agent.
    pub window: u16,
    /// Tasks running at the target.
    pub running: u16,
    /// Tasks waiting at the agent.
    pub queued: u16,
    /// Whether the agent has a live target and is not draining.
    pub ready: bool,
    /// Revision of the rules in force at the agent.
    pub config_revision: u64,
}

/// A message from an agent to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Answers a fence with all that is held of the shard.
    Fenced {
        /// The shard.
        shard: ShardKey,
        /// The generation now in force at the agent; newer than asked if the fence was stale.
        generation: Generation,
        /// Position of this part of the answer, from zero.
        part: u32,
        /// Number of parts.
        part_count: u32,
        /// The jobs of this part.
        jobs: Vec<JobRecord>,
    },
    /// Answers a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Tells that tasks are held and will be started or refused.
    Accepted {
        /// The shard of the tasks.
        shard: ShardKey,
        /// The tasks with their attempts.
        tasks: Vec<(TaskKey, Attempt)>,
    },
    /// Tells that an attempt never started here and never will.
    Refused {
        /// The shard of the task.
        shard: ShardKey,
        /// The task.
        task: TaskKey,
        /// The newest attempt that is ruled out.
        attempt: Attempt,
        /// Why.
        reason: RefusalReason,
    },
    /// Tells that a task that was to be taken back has started.
    RevokeFailed {
        /// The shard of the task.
        shard: ShardKey,
        /// The task.
        task: TaskKey,
        /// The attempt that started.
        attempt: Attempt,
    },
    /// Gives the outcome of a task that started.
    Finished {
        /// The shard of the task.
        shard: ShardKey,
        /// The task.
        task: TaskKey,
        /// The attempt that started.
        attempt: Attempt,
        /// What became of it.
        outcome: TaskOutcome,
        /// Time from the start at the target to the outcome, in microseconds.
        ran_us: u64,
    },
}

/// Answers a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Time of sending of the heartbeat on the owner's clock.
    pub sent_us: u64,
    /// The shards whose newest generation at the agent is the one in the heartbeat.
    pub shards: Vec<(ShardKey, Generation)>,
    /// Leave for the owner to send tasks.
    pub permit: Permit,
}

/// What an agent holds of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub meta: JobMeta,
    /// The tasks that the agent knows.
    pub tasks: Vec<TaskRecord>,
}

/// What an agent holds of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Position of the task in the job.
    pub index: u16,
    /// The newest attempt known.
    pub attempt: Attempt,
    /// State of that attempt.
    pub state: TaskState,
}

/// State of a task at an agent, as told to a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Never started here; this and earlier attempts are ruled out.
    NotStarted,
    /// Started; the outcome is still to come.
    Running,
    /// Started and finished.
    Finished(TaskOutcome),
    /// Started and finished; the result is no longer held.
    ResultDropped,
}

/// What became of a task that started.
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
    /// The generation was never fenced here.
    Unfenced,
    /// The permit ran out or belongs to another incarnation.
    PermitExpired,
    /// The job's deadline passed while the task waited.
    DeadlinePassed,
    /// The owner took the task back.
    Revoked,
    /// The agent is leaving.
    Draining,
    /// The agent's queue is full.
    QueueFull,
    /// There is no live target, or it could not be connected to.
    TargetDown,
    /// The target refused the task before starting it.
    TargetRefused,
    /// The attempt was ruled out earlier.
    Tombstoned,
}

/// Rules that agents apply, a part of the operators' configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Revision of the configuration; only a higher one replaces the rules.
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
