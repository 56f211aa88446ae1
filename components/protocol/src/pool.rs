//! Open connections to other processes, by address.

use std::cell::RefCell;
use std::collections::HashMap;

use model::ProcessKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::RequestName;

use crate::agent_link::AgentLink;
use crate::entry_link::EntryLink;
use crate::error::LinkError;
use crate::hello::Service;
use crate::link::Link;
use crate::service::{
    AgentServiceRequest, AgentServiceResponse, EntryServiceRequest, EntryServiceResponse,
};
use crate::traffic::Traffic;

/// Time for which a connection may take to open, in microseconds.
///
/// A few round trips between failure domains; a host that is gone must not hold up retries.
const CONNECT_US: u64 = 500_000;

/// Connections to agents.
pub type AgentPool = Pool<AgentServiceRequest, AgentServiceResponse>;

/// Connections to entries.
pub type EntryPool = Pool<EntryServiceRequest, EntryServiceResponse>;

/// Open connections of one kind, made on first use and again after they close.
pub struct Pool<Req, Resp> {
    own: ProcessKey,
    traffic: Traffic,
    links: RefCell<HashMap<String, Link<Req, Resp>>>,
}

impl<Req, Resp> Pool<Req, Resp> {
    /// Builds a pool without connections for the process `own`.
    #[must_use]
    pub fn new(own: ProcessKey) -> Self {
        Self {
            own,
            traffic: Traffic::default(),
            links: RefCell::default(),
        }
    }

    /// Counts what goes over the connections to come.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Traffic) -> Self {
        self.traffic = traffic;
        self
    }

    /// Closes the connection to an address.
    pub fn remove(&self, address: &str) {
        self.links.borrow_mut().remove(address);
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.borrow().len()
    }

    /// Tells whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.borrow().is_empty()
    }

    fn open_link(&self, address: &str, expected: Option<ProcessKey>) -> Option<Link<Req, Resp>> {
        let links = self.links.borrow();
        let link = links.get(address)?;
        let fits = expected.is_none_or(|key| key == link.peer());
        (!link.is_closed() && fits).then(|| link.clone())
    }

    fn keep(&self, address: &str, link: &Link<Req, Resp>) {
        self.links
            .borrow_mut()
            .insert(address.to_owned(), link.clone());
    }
}

impl<Req, Resp> Pool<Req, Resp>
where
    Req: RequestName + Serialize + 'static,
    Resp: DeserializeOwned + 'static,
{
    async fn link_to(
        &self,
        service: Service,
        address: &str,
        expected: Option<ProcessKey>,
    ) -> Result<Link<Req, Resp>, LinkError> {
        if let Some(link) = self.open_link(address, expected) {
            return Ok(link);
        }
        let deadline_us = runtime::monotonic_us() + CONNECT_US;
        let traffic = self.traffic.clone();
        let link =
            Link::connect_to(service, address, self.own, expected, deadline_us, traffic).await?;
        self.keep(address, &link);
        Ok(link)
    }
}

impl AgentPool {
    /// Returns a connection to the agent at `address`, of the incarnation `expected` if given.
    ///
    /// # Errors
    ///
    /// Fails if the agent cannot be reached or refuses the connection.
    pub async fn link(
        &self,
        address: &str,
        expected: Option<ProcessKey>,
    ) -> Result<AgentLink, LinkError> {
        self.link_to(Service::Agent, address, expected).await
    }
}

impl EntryPool {
    /// Returns a connection to the entry at `address`, of the incarnation `expected` if given.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the connection.
    pub async fn link(
        &self,
        address: &str,
        expected: Option<ProcessKey>,
    ) -> Result<EntryLink, LinkError> {
        self.link_to(Service::Entry, address, expected).await
    }
}
