//! The service of an agent for entries that place runs on its host.
//!
//! It serves jobs that belong to no shard: unlike [`AgentLink`](crate::AgentLink), it uses no
//! shard ownership or generations.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use model::{Evacuations, HostUpdate, HostUpdateRequest, Orders, ProcessKey};
use monoio::net::TcpListener;
use tarpc::context::Context;

use crate::connector::Connector;
use crate::error::{LinkError, LinkFault};
use crate::hello::Service;
use crate::link::Link;
use crate::server::accept_connections;
use crate::service::{HostService, HostServiceRequest, HostServiceResponse};
use crate::settings::ServerSettings;

/// A connection to the host service of an agent.
pub type HostLink = Link<HostServiceRequest, HostServiceResponse>;

impl HostLink {
    /// Connects to the agent at `address`, an `ip:port`.
    ///
    /// # Errors
    ///
    /// Fails if the agent cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        connector: &Connector,
        address: &str,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        Self::connect_to(connector, Service::Host, address, None, deadline_us).await
    }

    /// Sends orders and returns the agent's immediate reply.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn order(&self, orders: Orders, deadline_us: u64) -> Result<HostUpdate, LinkError> {
        let request = HostServiceRequest::Order { orders };
        match self.call(request, deadline_us).await? {
            HostServiceResponse::Order(update) => Ok(update),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }

    /// Polls the agent for new events; the agent replies at the latest after the wait that the
    /// request allows.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn update(
        &self,
        request: HostUpdateRequest,
        deadline_us: u64,
    ) -> Result<HostUpdate, LinkError> {
        let request = HostServiceRequest::Update { request };
        match self.call(request, deadline_us).await? {
            HostServiceResponse::Update(update) => Ok(update),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }

    /// Tells the agent the address of the bootstrap service of this entry, whose key is `from`.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn introduce(
        &self,
        from: ProcessKey,
        address: SocketAddr,
        deadline_us: u64,
    ) -> Result<(), LinkError> {
        let request = HostServiceRequest::Introduce { from, address };
        match self.call(request, deadline_us).await? {
            HostServiceResponse::Introduce(()) => Ok(()),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }

    /// Sends the agent a set of evacuations.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn share_evacuations(
        &self,
        from: ProcessKey,
        evacuations: Evacuations,
        deadline_us: u64,
    ) -> Result<(), LinkError> {
        let request = HostServiceRequest::ShareEvacuations { from, evacuations };
        match self.call(request, deadline_us).await? {
            HostServiceResponse::ShareEvacuations(()) => Ok(()),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }
}

/// Handlers of the calls of the host service.
#[derive(Clone)]
struct HostHandlers {
    order: Rc<dyn Fn(Orders) -> HostUpdate>,
    update: Rc<dyn Fn(HostUpdateRequest) -> LocalBoxFuture<'static, HostUpdate>>,
    introduce: Rc<dyn Fn(ProcessKey, SocketAddr)>,
    evacuations: Rc<dyn Fn(ProcessKey, Evacuations)>,
}

impl HostService for HostHandlers {
    async fn order(self, _: Context, orders: Orders) -> HostUpdate {
        (self.order)(orders)
    }

    async fn update(self, _: Context, request: HostUpdateRequest) -> HostUpdate {
        (self.update)(request).await
    }

    async fn introduce(self, _: Context, from: ProcessKey, address: SocketAddr) {
        (self.introduce)(from, address);
    }

    async fn share_evacuations(self, _: Context, from: ProcessKey, evacuations: Evacuations) {
        (self.evacuations)(from, evacuations);
    }
}

/// Serves the host service of an agent until the server is stopped.
///
/// The future of `update` is dropped when the entry cancels the call or its connection breaks.
/// `introduce` gets the key of an entry and the address of its bootstrap service.
pub async fn serve_host<F>(
    listener: TcpListener,
    settings: ServerSettings,
    order: impl Fn(Orders) -> HostUpdate + 'static,
    update: impl Fn(HostUpdateRequest) -> F + 'static,
    introduce: impl Fn(ProcessKey, SocketAddr) + 'static,
    evacuations: impl Fn(ProcessKey, Evacuations) + 'static,
) where
    F: Future<Output = HostUpdate> + 'static,
{
    let handlers = HostHandlers {
        order: Rc::new(order),
        update: Rc::new(move |request| Box::pin(update(request))),
        introduce: Rc::new(introduce),
        evacuations: Rc::new(evacuations),
    };
    accept_connections(listener, Service::Host, handlers.serve(), settings).await;
}
