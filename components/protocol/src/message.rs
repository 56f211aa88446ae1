//! Messages between entries, and from agents to entries, besides the envelopes of `model`.

use bytes::Bytes;
use model::{
    Answer, EntryInfo, FirmKey, Generation, HostRegistration, ProcessKey, Rules, ShardKey,
};
use serde::{Deserialize, Serialize};

/// Names the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHint {
    /// Incarnation of the owner.
    pub owner: ProcessKey,
    /// Address of the owner, as `ip:port`.
    pub address: String,
}

/// A shard with its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardKey,
    /// Incarnation of the owner.
    pub owner: ProcessKey,
    /// Address of the owner, as `ip:port`.
    pub address: String,
}

/// A shard that the sender owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardKey,
    /// Generation under which the sender owns it.
    pub generation: Generation,
}

/// A revision of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Revision of the configuration.
    pub revision: u64,
    /// The merged configuration.
    pub bytes: Bytes,
}

/// A team of a firm, as agents need to know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamInfo {
    /// The firm that the team belongs to.
    pub firm: FirmKey,
    /// Key of the team's jobs and shards.
    pub team: FirmKey,
    /// Name towards targets, `FIRM/TEAM`.
    pub name: String,
}

/// Answers the announcement of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The entry that answers.
    pub entry: EntryInfo,
    /// All entries that it knows, itself included.
    pub entries: Vec<EntryInfo>,
    /// Owners of the shards that involve the agent, as far as known.
    pub owners: Vec<ShardOwner>,
    /// Revision of the configuration in force at the entry.
    pub config_revision: u64,
    /// The rules, if newer than those the agent knows.
    pub rules: Option<Rules>,
    /// Teams of the firms that the agent's target serves.
    pub teams: Vec<TeamInfo>,
}

/// Answers a forwarded submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The job's final answer.
    Answered(Answer),
    /// The receiver does not own the job's shard and has not acted on the submission.
    NotOwner {
        /// The owner as far as known.
        owner: Option<OwnerHint>,
    },
}

/// How far a job has come.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Number of tasks of the job.
    pub task_count: u16,
    /// Tasks that have been sent to an agent and have no outcome yet.
    pub placed_count: u16,
    /// Tasks with an outcome.
    pub finished_count: u16,
}

/// Answers a question for the state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusReply {
    /// The owner does not know the job.
    NotFound,
    /// The job has no answer yet.
    Pending(JobProgress),
    /// The job's final answer.
    Answered(Answer),
    /// The receiver does not own the job's shard.
    NotOwner {
        /// The owner as far as known.
        owner: Option<OwnerHint>,
    },
}

/// Answers a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The owner does not know the job.
    NotFound,
    /// The cancellation is under way; the submission gets the final answer.
    Cancelling,
    /// The job's final answer, which the cancellation does not change.
    Answered(Answer),
    /// The receiver does not own the job's shard and has not acted on the cancellation.
    NotOwner {
        /// The owner as far as known.
        owner: Option<OwnerHint>,
    },
}

/// Shows an entry that another one lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPing {
    /// The sender.
    pub from: EntryInfo,
    /// Wall clock of the sender.
    pub now_unix_ms: u64,
    /// Revision of the configuration in force at the sender.
    pub config_revision: u64,
    /// The shards that the sender owns.
    pub owned: Vec<OwnedShard>,
    /// Whether the sender is stopping and takes no shard.
    pub draining: bool,
}

/// Answers an [`EntryPing`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPong {
    /// The receiver of the ping.
    pub from: EntryInfo,
    /// Wall clock of the receiver.
    pub now_unix_ms: u64,
    /// The configuration, if newer than the one in force at the sender of the ping.
    pub config: Option<ConfigDocument>,
    /// The shards that the receiver owns.
    pub owned: Vec<OwnedShard>,
    /// Whether the receiver reaches the platform.
    pub platform_reachable: bool,
    /// Whether the receiver is stopping and takes no shard.
    pub draining: bool,
}

/// Hands a shard to its next owner at a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The shard.
    pub shard: ShardKey,
    /// Generation under which the receiver is to own the shard.
    pub generation: Generation,
    /// The sender's table of the shard.
    pub bytes: Bytes,
}

/// Answers a [`HandOver`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverReply {
    /// Whether the receiver has taken the shard.
    pub accepted: bool,
}

/// What an entry knows that another needs to serve while the platform cannot be reached.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapReply {
    /// Revision of the configuration; 0 if the entry has none.
    pub revision: u64,
    /// The configuration as published, if it is newer than what the caller knows.
    pub configuration: Option<Bytes>,
    /// Hosts that the entry knows.
    pub hosts: Vec<HostRegistration>,
}
