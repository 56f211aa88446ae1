//! Client side of a connection to another process.

use std::rc::Rc;
use std::time::Instant;

use futures::future;
use model::ProcessKey;
use runtime::StopSignal;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::RequestName;
use tarpc::client::{Channel, Config, NewClient};
use tarpc::context;

use crate::codec::client_transport;
use crate::connect::{OpenedConnection, open_connection, time_left};
use crate::connector::Connector;
use crate::error::{LinkError, LinkFault};
use crate::hello::Service;
use crate::version::encoding;

const MAX_CALLS_IN_FLIGHT: usize = 65_536;
const PENDING_CALL_BUFFER: usize = 1_024;

/// A connection to another process; it is closed when the last clone is dropped.
pub struct Link<Req, Resp> {
    channel: Channel<Req, Resp>,
    peer: ProcessKey,
    closed: StopSignal,
    close_on_drop: Rc<CloseOnDrop>,
}

/// Closes the connection when dropped, even if the peer has stopped reading.
#[derive(Default)]
struct CloseOnDrop(StopSignal);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl<Req, Resp> Link<Req, Resp> {
    /// Returns the incarnation of the peer.
    #[must_use]
    pub fn peer(&self) -> ProcessKey {
        self.peer
    }

    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.is_stopped()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.closed.stopped().await;
    }
}

impl<Req, Resp> Link<Req, Resp>
where
    Req: RequestName + Serialize + 'static,
    Resp: DeserializeOwned + 'static,
{
    /// Connects to a service of the process at `address`, an `ip:port`.
    pub(crate) async fn connect_to(
        connector: &Connector,
        service: Service,
        address: &str,
        expected: Option<ProcessKey>,
        deadline_us: u64,
    ) -> Result<Self, LinkError> {
        let opened = open_connection(connector, service, address, expected, deadline_us).await?;
        Ok(Self::start(opened, connector))
    }

    fn start(opened: OpenedConnection, connector: &Connector) -> Self {
        let OpenedConnection {
            stream,
            peer,
            version,
        } = opened;
        let traffic = connector.traffic.clone();
        let transport = client_transport(stream, encoding(version), traffic);
        let open = connector.versions.track_open(version);
        let NewClient { client, dispatch } = tarpc::client::new(config(), transport);
        let closed = StopSignal::new();
        let ended = closed.clone();
        let close_on_drop = Rc::new(CloseOnDrop::default());
        let dropped = close_on_drop.0.stopped();
        monoio::spawn(async move {
            // In-flight calls return the error of the dispatch; only its end matters here.
            future::select(dropped, Box::pin(dispatch)).await;
            drop(open);
            ended.stop();
        });
        Self {
            channel: client,
            peer,
            closed,
            close_on_drop,
        }
    }

    pub(crate) async fn call(&self, request: Req, deadline_us: u64) -> Result<Resp, LinkError> {
        if self.is_closed() {
            return Err(LinkError::NotSent(LinkFault::Closed));
        }
        let Some(time_left) = time_left(deadline_us) else {
            return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
        };
        let mut context = context::current();
        context.deadline = Instant::now() + time_left;
        // The timeout of `tarpc` does not cover calls that are still queued for sending.
        match monoio::time::timeout(time_left, self.channel.call(context, request)).await {
            Ok(result) => result.map_err(LinkError::from_rpc),
            Err(_) => Err(LinkError::Unknown(LinkFault::DeadlinePassed)),
        }
    }
}

impl<Req, Resp> Clone for Link<Req, Resp> {
    fn clone(&self) -> Self {
        Self {
            channel: self.channel.clone(),
            peer: self.peer,
            closed: self.closed.clone(),
            close_on_drop: Rc::clone(&self.close_on_drop),
        }
    }
}

fn config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = PENDING_CALL_BUFFER;
    config
}
