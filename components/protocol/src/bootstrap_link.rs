//! The service from which an entry that cannot reach the platform gets its configuration and the
//! known hosts.

use std::rc::Rc;

use model::ProcessKey;
use monoio::net::TcpListener;
use tarpc::context::Context;

use crate::error::LinkError;
use crate::hello::Service;
use crate::link::Link;
use crate::message::BootstrapReply;
use crate::server::accept_connections;
use crate::service::{BootstrapService, BootstrapServiceRequest, BootstrapServiceResponse};
use crate::settings::ServerSettings;
use crate::traffic::Traffic;

/// A connection to the bootstrap service of an entry.
pub type BootstrapLink = Link<BootstrapServiceRequest, BootstrapServiceResponse>;

impl BootstrapLink {
    /// Connects to the entry at `address`, an `ip:port`.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached before `deadline_us` on the monotonic clock,
    /// or refuses the connection.
    pub async fn connect(
        address: &str,
        own_key: ProcessKey,
        deadline_us: u64,
        traffic: Traffic,
    ) -> Result<Self, LinkError> {
        Self::connect_to(
            Service::Bootstrap,
            address,
            own_key,
            None,
            deadline_us,
            traffic,
        )
        .await
    }

    /// Requests the hosts that the entry knows, and its configuration if newer than
    /// `known_revision`.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn bootstrap(
        &self,
        known_revision: u64,
        deadline_us: u64,
    ) -> Result<BootstrapReply, LinkError> {
        let request = BootstrapServiceRequest::Bootstrap { known_revision };
        let BootstrapServiceResponse::Bootstrap(reply) = self.call(request, deadline_us).await?;
        Ok(reply)
    }
}

#[derive(Clone)]
struct BootstrapHandlers(Rc<dyn Fn(u64) -> BootstrapReply>);

impl BootstrapService for BootstrapHandlers {
    async fn bootstrap(self, _: Context, known_revision: u64) -> BootstrapReply {
        (self.0)(known_revision)
    }
}

/// Serves the bootstrap service of an entry until the server is stopped.
///
/// `bootstrap` gets the configuration revision that the caller knows.
pub async fn serve_bootstrap(
    listener: TcpListener,
    settings: ServerSettings,
    bootstrap: impl Fn(u64) -> BootstrapReply + 'static,
) {
    let handlers = BootstrapHandlers(Rc::new(bootstrap));
    accept_connections(listener, Service::Bootstrap, handlers.serve(), settings).await;
}
