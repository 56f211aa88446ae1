//! Server: one task per connection, bounded in every direction.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use errors::{Error, ExitCode};
use futures::future::{Either, select};
use http::Method;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::{sleep, timeout};

use crate::connection::{Connection, ReadError};
use crate::counters::{ServerCounters, increment};
use crate::limits::CurrentLimits;
use crate::line_channel::LineReceiver;
use crate::message::{Delivery, Request, Response};
use crate::notify::Notify;
use crate::request_reader::{ReadRequest, asks_to_close, read_request};
use crate::respond::{WriteError, linger, write_response, write_stream};
use crate::stop::Stop;

/// Pause after a failed accept, for instance for want of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

const SLOW: &str = "the request took too long to arrive";

/// How long an idle connection may still bring a request after the stop.
const DRAIN_GRACE_MS: u64 = 50;

/// Refused connections that are answered at the same time; more are closed at once.
const MAX_REFUSALS: usize = 64;

struct Server<H> {
    limits: CurrentLimits,
    counters: Rc<ServerCounters>,
    stop: Stop,
    handler: H,
    open: Cell<usize>,
    refusals: Cell<usize>,
    closed: Notify,
}

/// Binds an address that no other process listens on; port 0 picks a free one.
///
/// Unlike the default of `monoio`, it does not share the port with other listeners.
///
/// # Errors
///
/// Fails if the address is in use or not one of this host.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// Opens the port that the setting `key` names.
///
/// # Errors
///
/// Fails if the address is in use or not one of this host.
pub fn bind_port(key: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    bind(address).map_err(|error| {
        let message = format!("cannot listen on {address}: {error}");
        Error::new(ExitCode::Unavailable, message)
            .with_place(key)
            .with_remedy("free the port or name another one")
    })
}

/// Opens a port as [`bind_port`] does, and returns the address that it got as well.
///
/// # Errors
///
/// Fails if the address is in use or not one of this host.
pub fn bind_port_with_address(
    key: &str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = bind_port(key, address)?;
    let address = listener
        .local_addr()
        .map_err(|error| Error::new(ExitCode::Failure, error.to_string()).with_place(key))?;
    Ok((listener, address))
}

/// Serves requests until `stop` is set and the requests in progress have been answered.
///
/// Malformed, oversized and slow requests get an error response with a JSON body and
/// the connection is closed; connections beyond the limit get status 503. A client
/// that disconnects while the handler runs is noticed when the response is written,
/// and at once when the response is a stream or the limits say so. A stop ends streams.
/// A response that asks for it closes its connection.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Into<CurrentLimits>,
    counters: Rc<ServerCounters>,
    stop: Stop,
    handler: H,
) where
    H: Fn(Request, SocketAddr) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let server = Rc::new(Server {
        limits: limits.into(),
        counters,
        stop,
        handler,
        open: Cell::new(0),
        refusals: Cell::new(0),
        closed: Notify::default(),
    });
    server.accept_until_stopped(&listener).await;
    drop(listener);
    let open = || (server.open.get() == 0).then_some(());
    server.closed.wait_until(open).await;
}

impl<H, F> Server<H>
where
    H: Fn(Request, SocketAddr) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    async fn accept_until_stopped(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            let accept = pin!(listener.accept());
            let stopped = pin!(self.stop.stopped());
            match select(stopped, accept).await {
                Either::Left(_) => return,
                Either::Right((accepted, _)) => self.handle_accept(accepted).await,
            }
        }
    }

    async fn handle_accept(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, peer)) => self.admit(stream, peer),
            Err(error) => {
                increment(&self.counters.accept_errors);
                log::warn!("web: accept failed: {error}.");
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        if self.open.get() >= self.limits.get().max_connections {
            self.refuse(stream);
            return;
        }
        increment(&self.counters.connections_accepted);
        increment(&self.counters.connections_open);
        self.open.set(self.open.get() + 1);
        let server = self.clone();
        monoio::spawn(async move {
            server.run(Connection::new(stream), peer).await;
            server.release();
        });
    }

    fn release(&self) {
        let counter = &self.counters.connections_open;
        counter.set(counter.get() - 1);
        self.open.set(self.open.get() - 1);
        self.closed.notify_all();
    }

    fn refuse(self: &Rc<Self>, mut stream: TcpStream) {
        increment(&self.counters.connections_refused);
        if self.refusals.get() >= MAX_REFUSALS {
            return;
        }
        self.refusals.set(self.refusals.get() + 1);
        let server = self.clone();
        monoio::spawn(async move {
            let response = Response::error(503, "too many connections");
            server.reject(&mut stream, response).await;
            server.refusals.set(server.refusals.get() - 1);
        });
    }

    async fn reject(&self, stream: &mut TcpStream, response: Response) {
        let limit_ms = self.limits.get().write_timeout_ms;
        if write_response(stream, response, false, limit_ms)
            .await
            .is_ok()
        {
            linger(stream).await;
        }
    }

    async fn run(&self, mut connection: Connection, peer: SocketAddr) {
        while self.wait_for_request(&mut connection).await {
            let read = match self.read(&mut connection).await {
                Ok(read) => read,
                Err(response) => {
                    if let Some(response) = response {
                        self.reject(&mut connection.stream, response).await;
                    }
                    return;
                }
            };
            increment(&self.counters.requests);
            let head_only = read.request.method == Method::HEAD;
            let Some(mut response) = self.handle(&mut connection, read.request, peer).await else {
                increment(&self.counters.abandoned);
                return;
            };
            match std::mem::replace(&mut response.delivery, Delivery::Body) {
                Delivery::Body => {}
                Delivery::Disconnect => return,
                Delivery::Stream(lines) => {
                    return self.stream(connection.stream, &response, lines).await;
                }
            }
            if head_only {
                response.body.clear();
            }
            let keep_alive =
                read.keep_alive && !self.stop.is_stopped() && !asks_to_close(&response.headers);
            if !self.respond(&mut connection, response, keep_alive).await {
                return;
            }
        }
    }

    /// Returns the handler's response, or nothing if the client has closed the connection.
    async fn handle(
        &self,
        connection: &mut Connection,
        request: Request,
        peer: SocketAddr,
    ) -> Option<Response> {
        let response = (self.handler)(request, peer);
        if !self.limits.get().drops_abandoned {
            return Some(response.await);
        }
        let response = pin!(response);
        let closed = pin!(connection.closed());
        match select(response, closed).await {
            Either::Left((response, _)) => Some(response),
            Either::Right(_) => None,
        }
    }

    /// Waits for the first byte of a request; `false` if the connection is to be closed.
    async fn wait_for_request(&self, connection: &mut Connection) -> bool {
        if !connection.buffered().is_empty() {
            return true;
        }
        let idle_limit = Duration::from_millis(self.limits.get().idle_timeout_ms);
        let first = {
            let fill = pin!(timeout(idle_limit, connection.fill()));
            let stopped = pin!(self.stop.stopped());
            match select(fill, stopped).await {
                Either::Left((filled, _)) => Some(filled),
                Either::Right(_) => None,
            }
        };
        match first {
            Some(Ok(filled)) => matches!(filled, Ok(count) if count > 0),
            Some(Err(_)) => {
                increment(&self.counters.idle_closed);
                false
            }
            None => {
                let grace = Duration::from_millis(DRAIN_GRACE_MS);
                let filled = timeout(grace, connection.fill()).await;
                matches!(filled, Ok(Ok(count)) if count > 0)
            }
        }
    }

    /// Reads a request, or returns the response that refuses it, if any.
    async fn read(&self, connection: &mut Connection) -> Result<ReadRequest, Option<Response>> {
        let limits = self.limits.get();
        let limit = Duration::from_millis(limits.read_timeout_ms);
        let Ok(read) = timeout(limit, read_request(connection, &limits)).await else {
            increment(&self.counters.timed_out);
            return Err(Some(Response::error(408, SLOW)));
        };
        read.map_err(|error| self.refusal(&error))
    }

    fn refusal(&self, error: &ReadError) -> Option<Response> {
        match error {
            ReadError::Closed => None,
            ReadError::Broken(_) => {
                increment(&self.counters.broken);
                None
            }
            ReadError::TooLarge => {
                increment(&self.counters.oversized);
                Some(Response::error(413, "the request is too large"))
            }
            ReadError::Slow => {
                increment(&self.counters.timed_out);
                Some(Response::error(408, SLOW))
            }
            ReadError::Malformed(_) => {
                increment(&self.counters.malformed);
                Some(Response::error(400, &error.to_string()))
            }
        }
    }

    async fn stream(&self, stream: TcpStream, response: &Response, lines: LineReceiver) {
        let limit_ms = self.limits.get().write_timeout_ms;
        let result = write_stream(stream, response, lines, limit_ms, &self.stop).await;
        self.count_write(result);
    }

    /// Writes a response; `false` if the connection is to be closed.
    async fn respond(
        &self,
        connection: &mut Connection,
        response: Response,
        keep_alive: bool,
    ) -> bool {
        let limit_ms = self.limits.get().write_timeout_ms;
        let stream = &mut connection.stream;
        let result = write_response(stream, response, keep_alive, limit_ms).await;
        self.count_write(result);
        if result.is_ok() && !keep_alive {
            linger(stream).await;
        }
        result.is_ok() && keep_alive
    }

    fn count_write(&self, result: Result<(), WriteError>) {
        match result {
            Ok(()) => {}
            Err(WriteError::Broken) => increment(&self.counters.broken),
            Err(WriteError::TimedOut) => increment(&self.counters.slow_readers),
        }
    }
}
