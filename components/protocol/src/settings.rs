//! Settings of a server.

use std::fmt;
use std::rc::Rc;

use model::ProcessKey;
use runtime::StopSignal;

use crate::connector::Connector;
use crate::counters::LinkCounters;
use crate::traffic::Traffic;
use crate::version::PeerVersions;

/// Default maximum number of concurrent connections of a server.
pub const DEFAULT_CONNECTION_LIMIT: usize = 4_096;

/// Callback for the end of a connection; it gets the incarnation that opened the connection.
#[derive(Clone)]
pub(crate) struct ClosedHook(pub(crate) Rc<dyn Fn(ProcessKey)>);

impl fmt::Debug for ClosedHook {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClosedHook")
    }
}

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    pub(crate) own_key: ProcessKey,
    pub(crate) connection_limit: usize,
    pub(crate) counters: LinkCounters,
    pub(crate) traffic: Traffic,
    pub(crate) versions: PeerVersions,
    pub(crate) stop: StopSignal,
    pub(crate) on_closed: Option<ClosedHook>,
}

impl ServerSettings {
    /// Returns a builder for the settings of the process with the key `own_key`.
    #[must_use]
    pub fn builder(own_key: ProcessKey) -> ServerSettingsBuilder {
        ServerSettingsBuilder {
            settings: Self {
                own_key,
                connection_limit: DEFAULT_CONNECTION_LIMIT,
                counters: LinkCounters::default(),
                traffic: Traffic::default(),
                versions: PeerVersions::default(),
                stop: StopSignal::new(),
                on_closed: None,
            },
        }
    }
}

/// Builds [`ServerSettings`].
#[derive(Debug, Clone)]
pub struct ServerSettingsBuilder {
    settings: ServerSettings,
}

impl ServerSettingsBuilder {
    /// Sets the maximum number of concurrent connections.
    #[must_use]
    pub fn connection_limit(mut self, connection_limit: usize) -> Self {
        self.settings.connection_limit = connection_limit;
        self
    }

    /// Sets the counters of connections.
    #[must_use]
    pub fn counters(mut self, counters: LinkCounters) -> Self {
        self.settings.counters = counters;
        self
    }

    /// Counts the traffic and the versions of peers together with those of the connections that the
    /// process opens.
    #[must_use]
    pub fn connector(mut self, connector: &Connector) -> Self {
        self.settings.traffic = connector.traffic.clone();
        self.settings.versions = connector.versions.clone();
        self
    }

    /// Sets the switch that stops the server.
    #[must_use]
    pub fn stop(mut self, stop: StopSignal) -> Self {
        self.settings.stop = stop;
        self
    }

    /// Sets the callback for the end of a connection; it gets the incarnation that opened it.
    #[must_use]
    pub fn on_closed(mut self, on_closed: impl Fn(ProcessKey) + 'static) -> Self {
        self.settings.on_closed = Some(ClosedHook(Rc::new(on_closed)));
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> ServerSettings {
        self.settings
    }
}
