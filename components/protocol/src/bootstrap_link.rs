//! The service from which an entry that the platform does not serve gets its configuration and the
//! known hosts, and to which agents announce their hosts.

use std::rc::Rc;

use monoio::net::TcpListener;
use tarpc::context::Context;

use crate::connector::Connector;
use crate::error::{LinkError, LinkFault};
use crate::hello::Service;
use crate::link::Link;
use crate::message::{
    BootstrapReply, BootstrapRequest, ConfigurationPart, ConfigurationPartRequest,
    HostAnnouncement, HostAnnouncementReply,
};
use crate::server::accept_connections;
use crate::service::{BootstrapService, BootstrapServiceRequest, BootstrapServiceResponse};
use crate::settings::ServerSettings;

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
        connector: &Connector,
        address: &str,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        Self::connect_to(connector, Service::Bootstrap, address, None, deadline_us).await
    }

    /// Requests what the entry knows and the caller does not.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn bootstrap(
        &self,
        request: BootstrapRequest,
        deadline_us: u64,
    ) -> Result<BootstrapReply, LinkError> {
        let request = BootstrapServiceRequest::Bootstrap { request };
        match self.call(request, deadline_us).await? {
            BootstrapServiceResponse::Bootstrap(reply) => Ok(reply),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }

    /// Requests a part of the configuration.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn configuration_part(
        &self,
        request: ConfigurationPartRequest,
        deadline_us: u64,
    ) -> Result<ConfigurationPart, LinkError> {
        let request = BootstrapServiceRequest::ConfigurationPart { request };
        match self.call(request, deadline_us).await? {
            BootstrapServiceResponse::ConfigurationPart(part) => Ok(part),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }

    /// Makes a host known to the entry.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer before the deadline or the connection ends.
    pub async fn announce(
        &self,
        announcement: HostAnnouncement,
        deadline_us: u64,
    ) -> Result<HostAnnouncementReply, LinkError> {
        let request = BootstrapServiceRequest::Announce { announcement };
        match self.call(request, deadline_us).await? {
            BootstrapServiceResponse::Announce(reply) => Ok(reply),
            _ => Err(LinkError::Unknown(LinkFault::CrossedAnswer)),
        }
    }
}

/// Handlers of the calls of the bootstrap service.
#[derive(Clone)]
struct BootstrapHandlers {
    bootstrap: Rc<dyn Fn(BootstrapRequest) -> BootstrapReply>,
    configuration_part: Rc<dyn Fn(ConfigurationPartRequest) -> ConfigurationPart>,
    announce: Rc<dyn Fn(HostAnnouncement) -> HostAnnouncementReply>,
}

impl BootstrapService for BootstrapHandlers {
    async fn bootstrap(self, _: Context, request: BootstrapRequest) -> BootstrapReply {
        (self.bootstrap)(request)
    }

    async fn configuration_part(
        self,
        _: Context,
        request: ConfigurationPartRequest,
    ) -> ConfigurationPart {
        (self.configuration_part)(request)
    }

    async fn announce(self, _: Context, announcement: HostAnnouncement) -> HostAnnouncementReply {
        (self.announce)(announcement)
    }
}

/// Serves the bootstrap service of an entry until the server is stopped.
pub async fn serve_bootstrap(
    listener: TcpListener,
    settings: ServerSettings,
    bootstrap: impl Fn(BootstrapRequest) -> BootstrapReply + 'static,
    configuration_part: impl Fn(ConfigurationPartRequest) -> ConfigurationPart + 'static,
    announce: impl Fn(HostAnnouncement) -> HostAnnouncementReply + 'static,
) {
    let handlers = BootstrapHandlers {
        bootstrap: Rc::new(bootstrap),
        configuration_part: Rc::new(configuration_part),
        announce: Rc::new(announce),
    };
    accept_connections(listener, Service::Bootstrap, handlers.serve(), settings).await;
}
