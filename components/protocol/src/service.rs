//! The services that the processes offer to each other.
#![allow(
    missing_docs,
    reason = "tarpc generates public items without documentation"
)]

use model::{AgentEnvelope, AgentInfo, JobKey, JobSpec, News, NewsRequest, Orders, OwnerEnvelope};

use crate::message::{
    AnnounceReply, BootstrapReply, CancelReply, EntryPing, EntryPong, HandOver, HandOverReply,
    StatusReply, SubmitReply,
};

/// Service of an agent.
#[tarpc::service]
pub trait AgentService {
    /// Takes messages of an owner and returns the agent's immediate answers.
    async fn exchange(envelope: OwnerEnvelope) -> AgentEnvelope;
}

/// Service of an entry.
#[tarpc::service]
pub trait EntryService {
    /// Takes the announcement of an agent.
    async fn announce(agent: AgentInfo, known_config_revision: u64) -> AnnounceReply;
    /// Takes messages of an agent and returns the owner's immediate answers.
    async fn exchange(envelope: AgentEnvelope) -> OwnerEnvelope;
    /// Takes a submission and returns when the job has its answer.
    async fn submit(job: JobSpec, waited_ms: u64) -> SubmitReply;
    /// Returns the state of a job.
    async fn status(job: JobKey) -> StatusReply;
    /// Cancels a job.
    async fn cancel(job: JobKey) -> CancelReply;
    /// Exchanges what two entries know of each other.
    async fn ping(ping: EntryPing) -> EntryPong;
    /// Offers a shard to its next owner.
    async fn hand_over(hand_over: HandOver) -> HandOverReply;
}

/// Service of an agent that runs tasks for entries on their word alone.
#[tarpc::service]
pub trait HostService {
    /// Takes orders; what becomes of them is reported as news.
    async fn order(orders: Orders) -> News;
    /// Returns what has happened, or nothing new after the time that the request allows.
    async fn news(request: NewsRequest) -> News;
}

/// Service of an entry for entries that cannot reach the platform.
#[tarpc::service]
pub trait BootstrapService {
    /// Returns the configuration and the agents that the entry knows.
    async fn bootstrap(known_revision: u64) -> BootstrapReply;
}
