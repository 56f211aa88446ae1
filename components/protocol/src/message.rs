//! Requests and replies of the entry and bootstrap services, except the envelopes of `model`.

use std::net::SocketAddr;

use bytes::Bytes;
use model::{
    Answer, EntryInfo, EvacuationsDigest, EvacuationsReport, FirmKey, Generation, ProcessKey,
    Rules, ShardKey,
};
use serde::{Deserialize, Serialize};

use crate::address_list;

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
    #[serde(rename = "s")]
    pub shard: ShardKey,
    /// Generation under which the sender owns it.
    #[serde(rename = "g")]
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
        /// The owner, if the receiver knows it.
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
        /// The owner, if the receiver knows it.
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
        /// The owner, if the receiver knows it.
        owner: Option<OwnerHint>,
    },
}

/// Heartbeat between entries, with the state of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPing {
    /// The sender.
    #[serde(rename = "f")]
    pub from: EntryInfo,
    /// Time on the sender's wall clock.
    #[serde(rename = "n")]
    pub now_unix_ms: u64,
    /// Revision of the configuration in force at the sender.
    #[serde(rename = "c")]
    pub config_revision: u64,
    /// The shards that the sender owns.
    #[serde(rename = "o")]
    pub owned: Vec<OwnedShard>,
    /// Whether the sender is draining: it is stopping and takes over no shards.
    #[serde(rename = "d")]
    pub draining: bool,
}

/// Reply to an [`EntryPing`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPong {
    /// The receiver of the ping.
    #[serde(rename = "f")]
    pub from: EntryInfo,
    /// Time on the receiver's wall clock.
    #[serde(rename = "n")]
    pub now_unix_ms: u64,
    /// The configuration, if newer than the one in force at the sender of the ping.
    #[serde(rename = "c")]
    pub config: Option<ConfigDocument>,
    /// The shards that the receiver owns.
    #[serde(rename = "o")]
    pub owned: Vec<OwnedShard>,
    /// Whether the receiver can reach the platform.
    #[serde(rename = "p")]
    pub platform_reachable: bool,
    /// Whether the receiver is draining: it is stopping and takes over no shards.
    #[serde(rename = "d")]
    pub draining: bool,
}

/// Offers a shard to its next owner during a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// The shard.
    pub shard: ShardKey,
    /// Not used; senders set it to 0 and receivers ignore it.
    pub generation: Generation,
    /// The sender's table of the shard's jobs, as JSON.
    pub table: Bytes,
}

/// Reply to a [`HandoverOffer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverReply {
    /// Whether the receiver has accepted the shard.
    pub accepted: bool,
}

/// A host as processes tell each other of it.
///
/// `HostRegistration` cannot be sent in `bincode`, which needs every field that may be left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostContact {
    /// Name of the host.
    #[serde(rename = "n")]
    pub name: String,
    /// Address of its agent for entries.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Failure domain of the host.
    #[serde(rename = "f")]
    pub failure_domain: String,
}

/// An entry's question for what another entry knows, with what it knows itself.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapRequest {
    /// Address of the caller's bootstrap service; `None` if others cannot reach it.
    #[serde(rename = "a")]
    pub address: Option<SocketAddr>,
    /// Revision of the caller's configuration; 0 if it has none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Revision of the configuration that the caller is receiving in parts; 0 if there is none.
    #[serde(rename = "dr")]
    pub downloading_revision: u64,
    /// Number of hosts that the caller knows.
    #[serde(rename = "hc")]
    pub host_count: u32,
    /// Digest of the evacuations that the caller knows; `None` if it does not follow them.
    #[serde(rename = "e")]
    pub evacuations: Option<EvacuationsDigest>,
    /// Whether the caller wants hosts.
    #[serde(rename = "w")]
    pub wants_hosts: bool,
    /// Digest of the hosts in the receiver's last reply to the caller; 0 if there was none.
    #[serde(rename = "sh")]
    pub seen_hosts_digest: u64,
}

/// A request for a part of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPartRequest {
    /// Revision of the configuration.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Position of the part, in bytes.
    #[serde(rename = "o")]
    pub offset_bytes: u64,
}

/// A part of a configuration as published.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPart {
    /// Revision of the configuration; 0 if the entry has none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Size of the whole configuration, in bytes.
    #[serde(rename = "t")]
    pub total_bytes: u64,
    /// Position of the part, in bytes.
    #[serde(rename = "o")]
    pub offset_bytes: u64,
    /// Content of the part.
    #[serde(rename = "c")]
    pub content: Bytes,
}

/// What an entry needs to serve while it cannot reach the platform.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapReply {
    /// Revision of the configuration; 0 if the entry has none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The first part of the configuration, if newer than those that the caller has or is receiving.
    #[serde(rename = "c")]
    pub configuration: Option<ConfigurationPart>,
    /// The evacuations that the entry knows, if both follow them.
    #[serde(rename = "e")]
    pub evacuations: Option<EvacuationsReport>,
    /// Number of hosts that the entry knows.
    #[serde(rename = "hc")]
    pub host_count: u32,
    /// Whether these include the hosts that the store listed, to this entry or to one that it asked.
    #[serde(rename = "l")]
    pub is_listed: bool,
    /// Digest of these hosts.
    #[serde(rename = "hd")]
    pub hosts_digest: u64,
    /// The hosts, if the caller wants them and has not seen them.
    #[serde(rename = "h")]
    pub hosts: Vec<HostContact>,
    /// Addresses of the bootstrap services of other entries.
    #[serde(rename = "en", with = "address_list")]
    pub entries: Vec<SocketAddr>,
}

/// An agent's announcement to an entry, instead of or besides its registration in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAnnouncement {
    /// The agent's host.
    pub host: HostContact,
    /// Addresses of the bootstrap services of other entries.
    #[serde(with = "address_list")]
    pub entries: Vec<SocketAddr>,
}

/// Reply to a [`HostAnnouncement`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAnnouncementReply {
    /// Addresses of the bootstrap services of other entries.
    #[serde(with = "address_list")]
    pub entries: Vec<SocketAddr>,
}
