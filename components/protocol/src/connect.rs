//! Opens connections to the services of other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use model::ProcessKey;
use monoio::net::TcpStream;

use crate::codec::MAX_CALL_MS;
use crate::connector::Connector;
use crate::error::{LinkError, LinkFault};
use crate::hello::{self, Hello, Reply, ReplyCode, Service};
use crate::version::{PeerVersions, VersionRange};

const LOG_TARGET: &str = "protocol";

// The connection to an unresponsive host breaks after 5 s + 3 * 2 s = 11 s.
const KEEPALIVE_IDLE_MS: u64 = 5_000;
const KEEPALIVE_INTERVAL_MS: u64 = 2_000;
const KEEPALIVE_RETRIES: u32 = 3;

/// Disables Nagle's algorithm, so that small frames are sent immediately, and enables TCP
/// keepalive, which detects that the peer's host is gone.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(
        Some(Duration::from_millis(KEEPALIVE_IDLE_MS)),
        Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)),
        Some(KEEPALIVE_RETRIES),
    )
}

/// Returns the time until the deadline, at most [`MAX_CALL_MS`]; `None` if it has passed.
pub(crate) fn time_left(deadline_us: u64) -> Option<Duration> {
    let left_us = deadline_us.checked_sub(runtime::monotonic_us())?;
    let left_us = left_us.min(MAX_CALL_MS * 1_000);
    (left_us > 0).then(|| Duration::from_micros(left_us))
}

/// An accepted connection.
pub(crate) struct OpenedConnection {
    pub(crate) stream: TcpStream,
    pub(crate) peer: ProcessKey,
    pub(crate) version: u32,
}

/// Opens a connection in the newest version that both sides use.
pub(crate) async fn open_connection(
    connector: &Connector,
    service: Service,
    address: &str,
    expected: Option<ProcessKey>,
    deadline_us: u64,
) -> Result<OpenedConnection, LinkError> {
    let Ok(socket_address) = address.parse() else {
        return Err(LinkError::NotSent(LinkFault::BadAddress));
    };
    let Some(time_left) = time_left(deadline_us) else {
        return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
    };
    let hello_with = |versions| Hello {
        versions,
        service: service.number(),
        from: connector.own_key,
        expected,
    };
    let negotiated = async {
        let offer = connector.versions.offer_for(address);
        let (stream, reply) = exchange_hello(socket_address, hello_with(offer)).await?;
        let Some(offer) = next_offer(&connector.versions, address, offer, reply) else {
            return accept(stream, offer, reply);
        };
        let (stream, reply) = exchange_hello(socket_address, hello_with(offer)).await?;
        accept(stream, offer, reply)
    };
    match monoio::time::timeout(time_left, negotiated).await {
        Ok(result) => result.map_err(LinkError::NotSent),
        Err(_) => Err(LinkError::NotSent(LinkFault::DeadlinePassed)),
    }
}

/// Returns the versions with which to connect once more: the peer's if it is older than those
/// offered, or all if the offer was older than what the peer uses by now.
fn next_offer(
    versions: &PeerVersions,
    address: &str,
    offer: VersionRange,
    reply: Reply,
) -> Option<VersionRange> {
    let own = versions.own();
    let is_refused = reply.code == ReplyCode::Version;
    let is_older = is_refused && reply.version < offer.newest;
    if is_older && own.contains(reply.version) {
        if versions.remember(address, reply.key, reply.version) {
            log::info!(
                target: LOG_TARGET, address = address;
                "Peer {} uses the older protocol version {}.", reply.key, reply.version
            );
        }
        return Some(VersionRange::single(reply.version));
    }
    let is_newer = reply.newest_version > offer.newest || (is_refused && !is_older);
    if offer != own && is_newer {
        versions.forget(address);
        return Some(own);
    }
    None
}

fn accept(
    stream: TcpStream,
    offer: VersionRange,
    reply: Reply,
) -> Result<OpenedConnection, LinkFault> {
    let peer = reply.accepted().map_err(LinkFault::Refused)?;
    if !offer.contains(reply.version) {
        return Err(LinkFault::NotProtocol);
    }
    Ok(OpenedConnection {
        stream,
        peer,
        version: reply.version,
    })
}

async fn exchange_hello(
    address: SocketAddr,
    hello: Hello,
) -> Result<(TcpStream, Reply), LinkFault> {
    let (stream, reply) = send_hello(address, hello).await.map_err(|error| {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            LinkFault::NobodyListens
        } else {
            LinkFault::Connect(error.to_string())
        }
    })?;
    let reply = reply.ok_or(LinkFault::NotProtocol)?;
    Ok((stream, reply))
}

async fn send_hello(address: SocketAddr, hello: Hello) -> io::Result<(TcpStream, Option<Reply>)> {
    let mut stream = TcpStream::connect_addr(address).await?;
    set_socket_options(&stream)?;
    hello::write_hello(&mut stream, &hello).await?;
    let reply = hello::read_reply(&mut stream).await?;
    Ok((stream, reply))
}
