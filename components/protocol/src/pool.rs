//! Pools of connections to other processes, by address.

use std::cell::RefCell;
use std::collections::HashMap;

use model::ProcessKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::RequestName;

use crate::agent_link::AgentLink;
use crate::connector::Connector;
use crate::entry_link::EntryLink;
use crate::error::LinkError;
use crate::hello::Service;
use crate::link::Link;
use crate::service::{
    AgentServiceRequest, AgentServiceResponse, EntryServiceRequest, EntryServiceResponse,
};

/// Timeout for opening a connection, in microseconds.
///
/// Allows a few round trips between failure domains, but does not let a host that is gone delay
/// retries for long.
const CONNECT_TIMEOUT_US: u64 = 500_000;

/// A pool of connections to agents.
pub type AgentPool = Pool<AgentServiceRequest, AgentServiceResponse>;

/// A pool of connections to entries.
pub type EntryPool = Pool<EntryServiceRequest, EntryServiceResponse>;

/// A pool of connections to one service, opened on first use and reopened after they close.
pub struct Pool<Req, Resp> {
    connector: Connector,
    links: RefCell<HashMap<String, Link<Req, Resp>>>,
}

impl<Req, Resp> Pool<Req, Resp> {
    /// Builds an empty pool.
    #[must_use]
    pub fn new(connector: Connector) -> Self {
        Self {
            connector,
            links: RefCell::default(),
        }
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

    /// Returns whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.borrow().is_empty()
    }

    fn reusable_link(
        &self,
        address: &str,
        expected: Option<ProcessKey>,
    ) -> Option<Link<Req, Resp>> {
        let links = self.links.borrow();
        let link = links.get(address)?;
        let is_expected = expected.is_none_or(|key| key == link.peer());
        (!link.is_closed() && is_expected).then(|| link.clone())
    }

    fn store(&self, address: &str, link: &Link<Req, Resp>) {
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
        if let Some(link) = self.reusable_link(address, expected) {
            return Ok(link);
        }
        let deadline_us = runtime::monotonic_us() + CONNECT_TIMEOUT_US;
        let connector = &self.connector;
        let link = Link::connect_to(connector, service, address, expected, deadline_us).await?;
        self.store(address, &link);
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
