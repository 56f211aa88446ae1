//! Opens connections to the services of other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use model::ProcessKey;
use monoio::net::TcpStream;

use crate::codec::MAX_CALL_MS;
use crate::error::{LinkError, LinkFault};
use crate::hello::{self, Hello, Reply, Service, VERSION};

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

pub(crate) fn client_hello(
    service: Service,
    own_key: ProcessKey,
    expected: Option<ProcessKey>,
) -> Hello {
    Hello {
        version: VERSION,
        service: service.number(),
        from: own_key,
        expected,
    }
}

pub(crate) async fn open_connection(
    address: &str,
    hello: Hello,
    deadline_us: u64,
) -> Result<(TcpStream, ProcessKey), LinkError> {
    let Ok(address) = address.parse() else {
        return Err(LinkError::NotSent(LinkFault::BadAddress));
    };
    let Some(time_left) = time_left(deadline_us) else {
        return Err(LinkError::NotSent(LinkFault::DeadlinePassed));
    };
    match monoio::time::timeout(time_left, handshake(address, hello)).await {
        Ok(result) => result.map_err(LinkError::NotSent),
        Err(_) => Err(LinkError::NotSent(LinkFault::DeadlinePassed)),
    }
}

async fn handshake(
    address: SocketAddr,
    hello: Hello,
) -> Result<(TcpStream, ProcessKey), LinkFault> {
    let (stream, reply) = match exchange_hello(address, hello).await {
        Ok(received) => received,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(LinkFault::NobodyListens);
        }
        Err(error) => return Err(LinkFault::Connect(error.to_string())),
    };
    let reply = reply.ok_or(LinkFault::NotProtocol)?;
    let key = reply.accepted().map_err(LinkFault::Refused)?;
    Ok((stream, key))
}

async fn exchange_hello(
    address: SocketAddr,
    hello: Hello,
) -> io::Result<(TcpStream, Option<Reply>)> {
    let mut stream = TcpStream::connect_addr(address).await?;
    set_socket_options(&stream)?;
    hello::write_hello(&mut stream, &hello).await?;
    let reply = hello::read_reply(&mut stream).await?;
    Ok((stream, reply))
}
