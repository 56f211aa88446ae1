//! Calls of an agent.

use model::{AgentEnvelope, OwnerEnvelope, ProcessKey};

use crate::connect::{hello_for, open};
use crate::error::LinkError;
use crate::hello::Service;
use crate::link::Link;
use crate::service::{AgentServiceRequest, AgentServiceResponse};
use crate::traffic::Traffic;

/// A connection to an agent.
pub type AgentLink = Link<AgentServiceRequest, AgentServiceResponse>;

impl AgentLink {
    /// Connects to the agent at `address`, an `ip:port`, which must be the incarnation
    /// `expected` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the agent cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        address: &str,
        own: ProcessKey,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        Self::connect_counted(address, own, expected, deadline_us, Traffic::default()).await
    }

    pub(crate) async fn connect_counted(
        address: &str,
        own: ProcessKey,
        expected: Option<ProcessKey>,
        deadline_us: u64,
        traffic: Traffic,
    ) -> Result<Self, LinkError> {
        let hello = hello_for(Service::Agent, own, expected);
        let (stream, peer) = open(address, hello, deadline_us).await?;
        Ok(Self::start(stream, peer, traffic))
    }

    /// Sends messages of an owner and returns the agent's immediate answers.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn exchange(
        &self,
        envelope: OwnerEnvelope,
        deadline_us: u64,
    ) -> Result<AgentEnvelope, LinkError> {
        let request = AgentServiceRequest::Exchange { envelope };
        match self.call(request, deadline_us).await? {
            AgentServiceResponse::Exchange(reply) => Ok(reply),
        }
    }
}
