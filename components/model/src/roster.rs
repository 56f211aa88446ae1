//! What targets, agents and entries announce, and the platform's record of a shard with its
//! roster of agents.

use serde::{Deserialize, Serialize};

use crate::keys::{FirmKey, Generation, GroupKey, ProcessKey, ShardKey};

/// What a target announces to the agent on its host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Group that the target belongs to.
    pub group: GroupKey,
    /// Firms that the target serves.
    pub firms: Vec<FirmKey>,
    /// Number of tasks that the target runs concurrently.
    pub slots: u16,
    /// Number of connections that the target accepts.
    pub connections: u16,
}

/// What an agent announces to the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// Incarnation of the agent.
    pub key: ProcessKey,
    /// Address of the agent, as `ip:port`.
    pub address: String,
    /// Failure domain of the agent's host.
    pub failure_domain: String,
    /// The target on the agent's host, once it has announced itself.
    pub target: Option<TargetInfo>,
    /// Whether the agent is draining: it is stopping and takes no new tasks.
    pub draining: bool,
}

/// What an entry registers in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Incarnation of the entry.
    pub key: ProcessKey,
    /// Address for other processes of the system, as `ip:port`.
    pub address: String,
    /// Failure domain of the entry's host.
    pub failure_domain: String,
    /// Firms that the entry serves; empty means all.
    pub firms: Vec<FirmKey>,
}

/// State of an agent on a shard's roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// May be sent tasks; counts towards the majority that confirms the owner.
    Active,
    /// Gets no new tasks, but tasks sent earlier may not have an outcome yet.
    Departed,
}

/// An agent incarnation on a shard's roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of the agent.
    pub agent: ProcessKey,
    /// Address of the agent, as `ip:port`.
    pub address: String,
    /// Whether the agent may be sent tasks.
    pub state: MemberState,
}

/// The platform's value for one shard, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The shard.
    pub shard: ShardKey,
    /// Number of shards of the firm, fixed when its first shard is created.
    pub shard_count: u16,
    /// Generation of the current owner.
    pub generation: Generation,
    /// Incarnation of the owner.
    pub owner: ProcessKey,
    /// Address of the owner for other processes of the system, as `ip:port`.
    pub owner_address: String,
    /// Every agent incarnation that may have tasks of the shard.
    pub roster: Vec<Member>,
}
