//! Client of the service of an agent.

use model::{AgentEnvelope, OwnerEnvelope, ProcessKey};

use crate::connector::Connector;
use crate::error::LinkError;
use crate::hello::Service;
use crate::link::Link;
use crate::service::{AgentServiceRequest, AgentServiceResponse};

/// A connection to the service of an agent.
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
        connector: &Connector,
        address: &str,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        Self::connect_to(connector, Service::Agent, address, expected, deadline_us).await
    }

    /// Sends messages from an owner and returns the messages that the agent has for it.
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
