//! Definitions of the services that the processes offer to each other.
#![allow(
    missing_docs,
    reason = "tarpc generates public items without documentation"
)]

use std::net::SocketAddr;

use model::{
    AgentEnvelope, AgentInfo, Evacuations, HostUpdate, HostUpdateRequest, JobKey, JobSpec, Orders,
    OwnerEnvelope, ProcessKey,
};

use crate::message::{
    AnnounceReply, BootstrapReply, BootstrapRequest, CancelReply, ConfigurationPart,
    ConfigurationPartRequest, EntryPing, EntryPong, HandoverOffer, HandoverReply, HostAnnouncement,
    HostAnnouncementReply, StatusReply, SubmitReply,
};

/// Service of an agent.
#[tarpc::service]
pub trait AgentService {
    /// Handles messages from an owner and returns the messages that the agent has for it.
    async fn exchange(envelope: OwnerEnvelope) -> AgentEnvelope;
}

/// Service of an entry.
#[tarpc::service]
pub trait EntryService {
    /// Registers an agent that announces itself.
    async fn announce(agent: AgentInfo, known_config_revision: u64) -> AnnounceReply;
    /// Handles messages from an agent and returns the messages that the entry has for it.
    async fn exchange(envelope: AgentEnvelope) -> OwnerEnvelope;
    /// Handles a forwarded submission; returns when the job has its answer.
    async fn submit(job: JobSpec, waited_ms: u64) -> SubmitReply;
    /// Returns the state of a job.
    async fn status(job: JobKey) -> StatusReply;
    /// Cancels a job.
    async fn cancel(job: JobKey) -> CancelReply;
    /// Exchanges heartbeats between entries.
    async fn ping(ping: EntryPing) -> EntryPong;
    /// Offers a shard to its next owner.
    async fn hand_over(hand_over: HandoverOffer) -> HandoverReply;
}

/// Service of an agent for entries that place runs on its host, without shards.
#[tarpc::service]
pub trait HostService {
    /// Handles orders; their events are reported in updates.
    async fn order(orders: Orders) -> HostUpdate;
    /// Returns new events, or none after the wait that the request allows (long poll).
    async fn update(request: HostUpdateRequest) -> HostUpdate;
    /// Tells the address of the bootstrap service of the entry that has connected.
    async fn introduce(from: ProcessKey, address: SocketAddr);
    /// Takes a set of evacuations that an entry knows.
    async fn share_evacuations(from: ProcessKey, evacuations: Evacuations);
}

/// Service of an entry for entries and agents that the platform does not serve.
#[tarpc::service]
pub trait BootstrapService {
    /// Returns the first part of the configuration, if newer than the caller's, and the hosts that the
    /// entry knows.
    async fn bootstrap(request: BootstrapRequest) -> BootstrapReply;
    /// Returns a part of the configuration, or the first part if the entry has another revision.
    async fn configuration_part(request: ConfigurationPartRequest) -> ConfigurationPart;
    /// Makes a host known to the entry.
    async fn announce(announcement: HostAnnouncement) -> HostAnnouncementReply;
}
