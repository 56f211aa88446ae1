//! Accepts and serves incoming connections.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use futures::{FutureExt, SinkExt, Stream};
use model::{AgentEnvelope, OwnerEnvelope, ProcessKey};
use monoio::net::{TcpListener, TcpStream};
use runtime::{RepeatedLines, StopSignal, uptime_ms};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::server::{BaseChannel, Channel, Config, Requests, Serve};
use tarpc::{ChannelError, RequestName};

use crate::codec::server_transport;
use crate::connect;
use crate::counters::{LinkCounters, LinkEvent, OpenConnectionGuard};
use crate::eof_as_error::EofAsError;
use crate::handlers::{AgentHandlers, EntryHandlers};
use crate::hello::{self, HELLO_TIMEOUT_MS, Hello, Reply, ReplyCode, Service};
use crate::service::{AgentService, EntryService};
use crate::settings::ServerSettings;
use crate::version::{OpenVersionGuard, encoding};

/// Maximum number of in-flight calls on one connection.
pub const MAX_CALLS_PER_CONNECTION: usize = 65_536;

// Connections above the limit that may be in the handshake at once and get a reply with the
// reason of the refusal; any further connection is closed without a reply.
const MAX_REFUSAL_HANDSHAKES: usize = 64;
const LOG_TARGET: &str = "protocol";
const PENDING_RESPONSE_BUFFER: usize = 1_024;
const ACCEPT_RETRY_DELAY_MS: u64 = 100;

/// Serves an agent's port until the server is stopped.
///
/// After the stop no connection is accepted, and an open connection is closed as soon as it has
/// no call in flight.
pub async fn serve_agent(
    listener: TcpListener,
    settings: ServerSettings,
    exchange: impl Fn(OwnerEnvelope) -> AgentEnvelope + 'static,
) {
    let handlers = AgentHandlers {
        exchange: Rc::new(exchange),
    };
    accept_connections(listener, Service::Agent, handlers.serve(), settings).await;
}

/// Serves an entry's port until the server is stopped.
///
/// After the stop no connection is accepted, and an open connection is closed as soon as it has
/// no call in flight.
pub async fn serve_entry(listener: TcpListener, settings: ServerSettings, handlers: EntryHandlers) {
    accept_connections(listener, Service::Entry, handlers.serve(), settings).await;
}

pub(crate) async fn accept_connections<S>(
    listener: TcpListener,
    service: Service,
    serve: S,
    settings: ServerSettings,
) where
    S: Serve + Clone + 'static,
    S::Req: RequestName + DeserializeOwned + 'static,
    S::Resp: Serialize + 'static,
{
    let server = Rc::new(Server {
        service,
        settings,
        handshaking: LinkCounters::default(),
        reports: RefCell::default(),
    });
    while let Some(accepted) = server.accept(&listener).await {
        match accepted {
            Ok(stream) => server.admit(stream, serve.clone()),
            Err(error) => server.pause_after_accept_error(&error).await,
        }
    }
}

struct Server {
    service: Service,
    settings: ServerSettings,
    // Counts the connections that are in the handshake.
    handshaking: LinkCounters,
    // Bounds the lines about refused connections, of which a misdirected client causes many, and about
    // peers that use an older version.
    reports: RefCell<RepeatedLines<&'static str>>,
}

/// A peer whose hello was accepted.
struct AcceptedPeer {
    key: ProcessKey,
    version: u32,
    _open: OpenConnectionGuard,
    _open_version: OpenVersionGuard,
}

impl Server {
    /// Returns the next connection, or `None` once the server is stopped.
    async fn accept(&self, listener: &TcpListener) -> Option<io::Result<TcpStream>> {
        let stopped = self.settings.stop.stopped();
        let accepted = Box::pin(listener.accept());
        match futures::future::select(stopped, accepted).await {
            futures::future::Either::Left(_) => None,
            futures::future::Either::Right((result, _)) => Some(result.map(|(stream, _)| stream)),
        }
    }

    async fn pause_after_accept_error(&self, error: &io::Error) {
        self.settings.counters.count(LinkEvent::AcceptFailed);
        log::warn!(target: LOG_TARGET, "Accepting a connection failed: {error}.");
        monoio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
    }

    fn admit<S>(self: &Rc<Self>, stream: TcpStream, serve: S)
    where
        S: Serve + Clone + 'static,
        S::Req: RequestName + DeserializeOwned + 'static,
        S::Resp: Serialize + 'static,
    {
        let connections =
            self.settings.counters.open_connections() + self.handshaking.open_connections();
        if connections >= self.settings.connection_limit + MAX_REFUSAL_HANDSHAKES {
            self.settings.counters.count(LinkEvent::RefusedLimit);
            return;
        }
        let handshaking = self.handshaking.track_open();
        monoio::spawn(Rc::clone(self).run_connection(stream, serve, handshaking));
    }

    async fn run_connection<S>(
        self: Rc<Self>,
        mut stream: TcpStream,
        serve: S,
        handshaking: OpenConnectionGuard,
    ) where
        S: Serve + Clone + 'static,
        S::Req: RequestName + DeserializeOwned + 'static,
        S::Resp: Serialize + 'static,
    {
        let peer = match self.handshake(&mut stream).await {
            Ok(peer) => peer,
            Err(event) => return self.report_refusal(event),
        };
        drop(handshaking);
        self.settings.counters.count(LinkEvent::Accepted);
        if peer.version < self.settings.versions.own().newest {
            self.report_older_peer(&peer);
        }
        if let Err(error) = serve_calls(stream, serve, peer.version, &self.settings).await {
            self.settings.counters.count(LinkEvent::Broken);
            log::warn!(target: LOG_TARGET, "Connection broke: {error}.");
        }
        if let Some(on_closed) = &self.settings.on_closed {
            (on_closed.0)(peer.key);
        }
    }

    fn report_older_peer(&self, peer: &AcceptedPeer) {
        let due = self
            .reports
            .borrow_mut()
            .record(uptime_ms(), "older_version");
        if let Some(count) = due {
            log::info!(
                target: LOG_TARGET, count = count;
                "Peer {} uses the older protocol version {}.", peer.key, peer.version
            );
        }
    }

    fn report_refusal(&self, event: LinkEvent) {
        self.settings.counters.count(event);
        let reason = <&str>::from(event);
        let due = self.reports.borrow_mut().record(uptime_ms(), reason);
        if let Some(count) = due {
            log::info!(target: LOG_TARGET, count = count; "Connection refused: {reason}.");
        }
    }

    async fn handshake(&self, stream: &mut TcpStream) -> Result<AcceptedPeer, LinkEvent> {
        let hello_timeout = Duration::from_millis(HELLO_TIMEOUT_MS);
        match monoio::time::timeout(hello_timeout, self.exchange_hello(stream)).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(LinkEvent::HelloIncomplete),
        }
    }

    async fn exchange_hello(
        &self,
        stream: &mut TcpStream,
    ) -> io::Result<Result<AcceptedPeer, LinkEvent>> {
        connect::set_socket_options(stream)?;
        let Some(hello) = hello::read_hello(stream).await? else {
            return Ok(Err(LinkEvent::Garbage));
        };
        let checked = self.check_hello(&hello);
        let own_newest = self.settings.versions.own().newest;
        let (version, code) = match &checked {
            Ok(accepted) => (accepted.version, ReplyCode::Accepted),
            Err((code, _)) => (own_newest, *code),
        };
        let reply = Reply {
            version,
            newest_version: if version < own_newest { own_newest } else { 0 },
            code,
            key: self.settings.own_key,
        };
        hello::write_reply(stream, reply).await?;
        Ok(checked.map_err(|(_, event)| event))
    }

    fn check_hello(&self, hello: &Hello) -> Result<AcceptedPeer, (ReplyCode, LinkEvent)> {
        let own = self.settings.versions.own();
        let Some(version) = own.newest_common(hello.versions) else {
            log::warn!(
                target: LOG_TARGET,
                "Refused peer {}: it uses protocol versions {} to {}, this process {} to {}.",
                hello.from,
                hello.versions.oldest,
                hello.versions.newest,
                own.oldest,
                own.newest
            );
            return Err((ReplyCode::Version, LinkEvent::RefusedVersion));
        };
        if hello.service != self.service.number() {
            return Err((ReplyCode::Service, LinkEvent::RefusedService));
        }
        if hello
            .expected
            .is_some_and(|key| key != self.settings.own_key)
        {
            return Err((ReplyCode::Key, LinkEvent::RefusedKey));
        }
        if self.settings.counters.open_connections() >= self.settings.connection_limit {
            return Err((ReplyCode::Limit, LinkEvent::RefusedLimit));
        }
        Ok(AcceptedPeer {
            key: hello.from,
            version,
            _open: self.settings.counters.track_open(),
            _open_version: self.settings.versions.track_open(version),
        })
    }
}

/// Serves the calls of one connection until it ends, or until the server is stopped and no call
/// is in flight.
async fn serve_calls<S>(
    stream: TcpStream,
    serve: S,
    version: u32,
    settings: &ServerSettings,
) -> io::Result<()>
where
    S: Serve + Clone + 'static,
    S::Req: RequestName + DeserializeOwned + 'static,
    S::Resp: Serialize + 'static,
{
    let config = Config {
        pending_response_buffer: PENDING_RESPONSE_BUFFER,
    };
    let transport = EofAsError::new(server_transport::<S::Req, S::Resp>(
        stream,
        encoding(version),
        settings.traffic.clone(),
    ));
    let channel = BaseChannel::new(config, transport);
    let channel = channel.max_concurrent_requests(MAX_CALLS_PER_CONNECTION);
    let mut requests = Box::pin(channel.requests());
    while let Some(request) = next_request(requests.as_mut(), &settings.stop).await {
        match request {
            Ok(request) => monoio::spawn(request.execute(serve.clone())),
            Err(error) if is_end_of_stream(&error) => return Ok(()),
            Err(error) => return Err(io::Error::other(error)),
        };
    }
    let mut requests = requests.as_mut();
    let result = requests.channel_pin_mut().close().await;
    result.map_err(io::Error::other)
}

fn is_end_of_stream(error: &ChannelError<io::Error>) -> bool {
    matches!(error, ChannelError::Read(cause) if cause.kind() == io::ErrorKind::UnexpectedEof)
}

async fn next_request<C: Channel>(
    mut requests: Pin<&mut Requests<C>>,
    stop: &StopSignal,
) -> Option<<Requests<C> as Stream>::Item> {
    let mut stopped = stop.stopped();
    poll_fn(|context| {
        if let Poll::Ready(next) = requests.as_mut().poll_next(context) {
            return Poll::Ready(next);
        }
        let is_stopped = stopped.poll_unpin(context).is_ready();
        if is_stopped && requests.channel().in_flight_requests() == 0 {
            return Poll::Ready(None);
        }
        Poll::Pending
    })
    .await
}
