//! Requests and replies of the entry and bootstrap services, except the envelopes of `model`.

use bytes::Bytes;
use model::{
    Answer, EntryInfo, FirmKey, Generation, HostRegistration, ProcessKey, Rules, ShardKey,
};
use serde::{Deserialize, Serialize};

/// Owner of a shard, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHint {
    /// Incarnation of the owner.
    pub owner: ProcessKey,
    /// Address of the owner, as `ip:port`.
    pub address: String,
}

/// A shard and its owner.
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

/// The operators' configuration at one revision.
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
    /// Name that targets use for the team, `FIRM/TEAM`.
    pub name: String,
}

/// Reply to the announcement of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The replying entry.
    pub entry: EntryInfo,
    /// All entries that it knows, including itself.
    pub entries: Vec<EntryInfo>,
    /// Known owners of the shards that involve the agent.
    pub owners: Vec<ShardOwner>,
    /// Revision of the configuration in force at the entry.
    pub config_revision: u64,
    /// The rules, if newer than those of the agent.
    pub rules: Option<Rules>,
    /// Teams of the firms that the agent's target serves.
    pub teams: Vec<TeamInfo>,
}

/// Reply to a forwarded submission.
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

/// Progress of a job.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Number of tasks of the job.
    pub task_count: u16,
    /// Number of tasks that have been sent to an agent and have no outcome yet.
    pub placed_count: u16,
    /// Number of tasks with an outcome.
    pub finished_count: u16,
}

/// Reply to a query for the state of a job.
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

/// Reply to a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The owner does not know the job.
    NotFound,
    /// The cancellation is in progress; the final answer is sent to the submission.
    Cancelling,
    /// The job's final answer, which the cancellation does not change.
    Answered(Answer),
    /// The receiver does not own the job's shard and has not acted on the cancellation.
    NotOwner {
        /// The owner as far as known.
        owner: Option<OwnerHint>,
    },
}

/// Heartbeat between entries, with the state of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPing {
    /// The sender.
    pub from: EntryInfo,
    /// Time on the sender's wall clock.
    pub now_unix_ms: u64,
    /// Revision of the configuration in force at the sender.
    pub config_revision: u64,
    /// The shards that the sender owns.
    pub owned: Vec<OwnedShard>,
    /// Whether the sender is draining: it is stopping and takes over no shards.
    pub draining: bool,
}

/// Reply to an [`EntryPing`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPong {
    /// The receiver of the ping.
    pub from: EntryInfo,
    /// Time on the receiver's wall clock.
    pub now_unix_ms: u64,
    /// The configuration, if newer than the one in force at the sender of the ping.
    pub config: Option<ConfigDocument>,
    /// The shards that the receiver owns.
    pub owned: Vec<OwnedShard>,
    /// Whether the receiver can reach the platform.
    pub platform_reachable: bool,
    /// Whether the receiver is draining: it is stopping and takes over no shards.
    pub draining: bool,
}

/// Offers a shard to its next owner during a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// The shard.
    pub shard: ShardKey,
    /// Not used; senders set it to 0 and receivers ignore it.
    pub generation: Generation,
    /// The sender's table of the shard's jobs.
    pub bytes: Bytes,
}

/// Reply to a [`HandoverOffer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverReply {
    /// Whether the receiver has accepted the shard.
    pub accepted: bool,
}

/// What an entry needs to serve while it cannot reach the platform.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapReply {
    /// Revision of the configuration; 0 if the entry has none.
    pub revision: u64,
    /// The configuration as published, if newer than the caller's.
    pub configuration: Option<Bytes>,
    /// Hosts that the entry knows.
    pub hosts: Vec<HostRegistration>,
}
