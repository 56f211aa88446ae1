//! Connection pool of a client for one address.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::connection::Connection;
use crate::notify::Notify;

/// Longest time for which an idle connection is kept, well below the idle timeouts of common
/// servers.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Linux error number of a non-blocking connect that is still in progress.
const EINPROGRESS: i32 = 115;

/// Pooled connection, with a second handle to its socket for checking whether it is open.
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    probe: StdStream,
    idle_since: Instant,
}

impl PooledConnection {
    /// Returns whether the peer has neither closed the connection nor sent unsolicited data.
    ///
    /// Peeks at the socket, since the runtime may not have processed the event yet.
    fn is_open(&self) -> bool {
        let mut byte = [0];
        let peeked = self.probe.peek(&mut byte);
        let is_silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.connection.buffered().is_empty()
    }
}

/// Idle connections and the number of connections in use.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<Vec<PooledConnection>>,
    in_use: Cell<usize>,
    released: Notify,
}

/// Permit to use one connection; dropping it releases the permit.
pub(crate) struct Permit(Rc<Pool>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.released.notify_all();
    }
}

impl Pool {
    /// Waits until fewer than `max_connections` are in use and acquires a permit.
    pub(crate) async fn acquire(self: &Rc<Self>, max_connections: usize) -> Permit {
        let acquire = || {
            let in_use = self.in_use.get();
            (in_use < max_connections).then(|| self.in_use.set(in_use + 1))
        };
        self.released.wait_until(acquire).await;
        Permit(self.clone())
    }

    /// Takes the most recently used connection that is still open.
    pub(crate) fn take_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|pooled| pooled.idle_since.elapsed() < MAX_IDLE);
        while let Some(pooled) = idle.pop() {
            if pooled.is_open() {
                return Some(pooled);
            }
        }
        None
    }

    /// Returns a connection to the pool for reuse.
    pub(crate) fn put_back(&self, mut pooled: PooledConnection) {
        pooled.idle_since = Instant::now();
        self.idle.borrow_mut().push(pooled);
    }
}

/// Opens a connection without blocking the thread.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<PooledConnection> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    start_connect(&socket, address)?;
    let probe = StdStream::from(socket);
    let stream = TcpStream::from_std(probe.try_clone()?)?;
    stream.writable(true).await?;
    if let Some(error) = probe.take_error()? {
        return Err(error);
    }
    // A socket may become writable without being connected; `peer_addr` fails then.
    probe.peer_addr()?;
    Ok(PooledConnection {
        connection: Connection::new(stream),
        probe,
        idle_since: Instant::now(),
    })
}

fn start_connect(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    match socket.connect(&SockAddr::from(address)) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(error),
        _ => Ok(()),
    }
}
