//! Client of the service of an entry.

use model::{AgentEnvelope, AgentInfo, JobKey, JobSpec, OwnerEnvelope, ProcessKey};

use crate::connector::Connector;
use crate::error::{LinkError, LinkFault};
use crate::hello::Service;
use crate::link::Link;
use crate::message::{
    AnnounceReply, CancelReply, EntryPing, EntryPong, HandoverOffer, HandoverReply, StatusReply,
    SubmitReply,
};
use crate::service::{EntryServiceRequest, EntryServiceResponse};

/// A connection to the service of an entry.
pub type EntryLink = Link<EntryServiceRequest, EntryServiceResponse>;

impl EntryLink {
    /// Connects to the entry at `address`, an `ip:port`, which must be the incarnation
    /// `expected` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        connector: &Connector,
        address: &str,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        Self::connect_to(connector, Service::Entry, address, expected, deadline_us).await
    }

    /// Announces an agent that has the configuration of revision `known_config_revision`.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn announce(
        &self,
        agent: AgentInfo,
        known_config_revision: u64,
        deadline_us: u64,
    ) -> Result<AnnounceReply, LinkError> {
        let request = EntryServiceRequest::Announce {
            agent,
            known_config_revision,
        };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Announce(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Sends messages from an agent and returns the messages that the entry has for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn exchange(
        &self,
        envelope: AgentEnvelope,
        deadline_us: u64,
    ) -> Result<OwnerEnvelope, LinkError> {
        let request = EntryServiceRequest::Exchange { envelope };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Exchange(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Forwards a submission that arrived `waited_ms` ago, and waits for the job's answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn submit(
        &self,
        job: JobSpec,
        waited_ms: u64,
        deadline_us: u64,
    ) -> Result<SubmitReply, LinkError> {
        let request = EntryServiceRequest::Submit { job, waited_ms };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Submit(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Requests the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn status(&self, job: JobKey, deadline_us: u64) -> Result<StatusReply, LinkError> {
        let request = EntryServiceRequest::Status { job };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Status(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn cancel(&self, job: JobKey, deadline_us: u64) -> Result<CancelReply, LinkError> {
        let request = EntryServiceRequest::Cancel { job };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Cancel(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Sends a heartbeat to the other entry and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn ping(&self, ping: EntryPing, deadline_us: u64) -> Result<EntryPong, LinkError> {
        let request = EntryServiceRequest::Ping { ping };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::Ping(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }

    /// Offers a shard to its next owner.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn hand_over(
        &self,
        hand_over: HandoverOffer,
        deadline_us: u64,
    ) -> Result<HandoverReply, LinkError> {
        let request = EntryServiceRequest::HandOver { hand_over };
        match self.call(request, deadline_us).await? {
            EntryServiceResponse::HandOver(reply) => Ok(reply),
            _ => Err(mismatched_answer()),
        }
    }
}

fn mismatched_answer() -> LinkError {
    LinkError::Unknown(LinkFault::CrossedAnswer)
}
