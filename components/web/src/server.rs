//! HTTP server with one task per connection and limits on connections, sizes and times.

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
use crate::request_reader::{ReadRequest, has_close_option, read_request};
use crate::respond::{WriteError, linger, write_response, write_stream};
use crate::stop::Stop;

/// Delay after a failed accept, for instance when no file descriptors are left.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Body text of status 408.
const REQUEST_TIMEOUT_TEXT: &str = "the request took too long to arrive";

/// Time for which an idle connection is still read after the stop, for a request in transit.
const DRAIN_GRACE_MS: u64 = 50;

/// Refused connections that are answered with 503 at a time; further ones are closed at once.
const MAX_REFUSALS: usize = 64;

struct Server<H> {
    limits: CurrentLimits,
    counters: Rc<ServerCounters>,
    stop: Stop,
    handler: H,
    open_connections: Cell<usize>,
    pending_refusals: Cell<usize>,
    connection_closed: Notify,
}

/// Listens on an address that no other process listens on; port 0 selects a free port.
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

/// Listens on the address of the setting `key`, which an error names.
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

/// Listens as [`bind_port`] does, and also returns the bound address.
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
/// Malformed, oversized and slow requests are answered with an error and a JSON body, and the
/// connection is closed; connections over the limit are answered with status 503. If a client
/// disconnects while the handler runs, this is detected when the response is written, or at once
/// if the response is a stream or the limits set `drops_abandoned`. A stop ends streams. A
/// response with the header `connection: close` closes its connection.
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
        open_connections: Cell::new(0),
        pending_refusals: Cell::new(0),
        connection_closed: Notify::default(),
    });
    server.accept_until_stopped(&listener).await;
    drop(listener);
    let all_closed = || (server.open_connections.get() == 0).then_some(());
    server.connection_closed.wait_until(all_closed).await;
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
                sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        if self.open_connections.get() >= self.limits.get().max_connections {
            self.refuse_over_limit(stream);
            return;
        }
        increment(&self.counters.connections_accepted);
        increment(&self.counters.connections_open);
        self.open_connections.set(self.open_connections.get() + 1);
        let server = self.clone();
        monoio::spawn(async move {
            server.serve_connection(Connection::new(stream), peer).await;
            server.count_closed();
        });
    }

    fn count_closed(&self) {
        let counter = &self.counters.connections_open;
        counter.set(counter.get() - 1);
        self.open_connections.set(self.open_connections.get() - 1);
        self.connection_closed.notify_all();
    }

    fn refuse_over_limit(self: &Rc<Self>, mut stream: TcpStream) {
        increment(&self.counters.connections_refused);
        if self.pending_refusals.get() >= MAX_REFUSALS {
            return;
        }
        self.pending_refusals.set(self.pending_refusals.get() + 1);
        let server = self.clone();
        monoio::spawn(async move {
            let response = Response::error(503, "too many connections");
            server.respond_and_close(&mut stream, response).await;
            server
                .pending_refusals
                .set(server.pending_refusals.get() - 1);
        });
    }

    async fn respond_and_close(&self, stream: &mut TcpStream, response: Response) {
        let limit_ms = self.limits.get().write_timeout_ms;
        if write_response(stream, response, false, limit_ms)
            .await
            .is_ok()
        {
            linger(stream).await;
        }
    }

    async fn serve_connection(&self, mut connection: Connection, peer: SocketAddr) {
        while self.wait_for_request(&mut connection).await {
            let read = match self.read(&mut connection).await {
                Ok(read) => read,
                Err(response) => {
                    if let Some(response) = response {
                        self.respond_and_close(&mut connection.stream, response)
                            .await;
                    }
                    return;
                }
            };
            increment(&self.counters.requests);
            let is_head_request = read.request.method == Method::HEAD;
            let Some(mut response) = self.handle(&mut connection, read.request, peer).await else {
                increment(&self.counters.abandoned);
                return;
            };
            match std::mem::replace(&mut response.delivery, Delivery::Body) {
                Delivery::Body => {}
                Delivery::Disconnect => return,
                Delivery::Stream(lines) => {
                    return self.send_stream(connection.stream, &response, lines).await;
                }
            }
            if is_head_request {
                response.body.clear();
            }
            let keep_alive = read.is_keep_alive
                && !self.stop.is_stopped()
                && !has_close_option(&response.headers);
            if !self
                .send_response(&mut connection, response, keep_alive)
                .await
            {
                return;
            }
        }
    }

    /// Returns the handler's response, or `None` if the client closed the connection before it.
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

    /// Waits for the first byte of a request; returns `false` if the connection is to be closed.
    async fn wait_for_request(&self, connection: &mut Connection) -> bool {
        if !connection.buffered().is_empty() {
            return true;
        }
        let idle_limit = Duration::from_millis(self.limits.get().idle_timeout_ms);
        let first_read = {
            let fill = pin!(timeout(idle_limit, connection.fill()));
            let stopped = pin!(self.stop.stopped());
            match select(fill, stopped).await {
                Either::Left((filled, _)) => Some(filled),
                Either::Right(_) => None,
            }
        };
        match first_read {
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

    /// Reads a request, or returns the error response, if one can be sent.
    async fn read(&self, connection: &mut Connection) -> Result<ReadRequest, Option<Response>> {
        let limits = self.limits.get();
        let limit = Duration::from_millis(limits.read_timeout_ms);
        let Ok(read) = timeout(limit, read_request(connection, &limits)).await else {
            increment(&self.counters.timed_out);
            return Err(Some(Response::error(408, REQUEST_TIMEOUT_TEXT)));
        };
        read.map_err(|error| self.error_response(&error))
    }

    fn error_response(&self, error: &ReadError) -> Option<Response> {
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
                Some(Response::error(408, REQUEST_TIMEOUT_TEXT))
            }
            ReadError::Malformed(_) => {
                increment(&self.counters.malformed);
                Some(Response::error(400, &error.to_string()))
            }
        }
    }

    async fn send_stream(&self, stream: TcpStream, response: &Response, lines: LineReceiver) {
        let limit_ms = self.limits.get().write_timeout_ms;
        let result = write_stream(stream, response, lines, limit_ms, &self.stop).await;
        self.count_write_error(result);
    }

    /// Writes a response; returns `false` if the connection is to be closed.
    async fn send_response(
        &self,
        connection: &mut Connection,
        response: Response,
        keep_alive: bool,
    ) -> bool {
        let limit_ms = self.limits.get().write_timeout_ms;
        let stream = &mut connection.stream;
        let result = write_response(stream, response, keep_alive, limit_ms).await;
        self.count_write_error(result);
        if result.is_ok() && !keep_alive {
            linger(stream).await;
        }
        result.is_ok() && keep_alive
    }

    fn count_write_error(&self, result: Result<(), WriteError>) {
        match result {
            Ok(()) => {}
            Err(WriteError::Broken) => increment(&self.counters.broken),
            Err(WriteError::TimedOut) => increment(&self.counters.slow_readers),
        }
    }
}
