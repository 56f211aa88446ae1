//! HTTP client for one address with pooled connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use monoio::time::{timeout, timeout_at};
use monoio_http::common::body::HttpBody;

use crate::call::{CallError, CallFault, CallLimits, CallProgress};
use crate::connection::{BodyLength, body_length};
use crate::counters::increment;
use crate::exchange::{
    encode_request, fault_from_read_error, read_response, read_response_head, write_request,
};
use crate::line_stream::LineStream;
use crate::message::{Request, Response};
use crate::pool::{Permit, Pool, PooledConnection, connect};

/// Default limit of the body of a response, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Counters of a client; shared by its clones.
#[derive(Debug, Default)]
pub struct ClientCounters {
    /// Connections opened.
    pub connects: Cell<u64>,
    /// Calls that reused an open connection.
    pub reuses: Cell<u64>,
    /// Calls that failed before any byte was sent.
    pub not_sent: Cell<u64>,
    /// Calls that failed after bytes may have been sent.
    pub unknown: Cell<u64>,
}

/// HTTP client for one address; clones share the connection pool.
///
/// A call is never retried once a byte of the request has been written.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    host: HeaderValue,
    max_connections: usize,
    max_body_bytes: usize,
    pool: Rc<Pool>,
    counters: Rc<ClientCounters>,
}

impl Client {
    /// Creates a client that uses at most `max_connections` at a time.
    ///
    /// # Panics
    ///
    /// Panics if `max_connections` is zero.
    #[must_use]
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        assert!(
            max_connections > 0,
            "max_connections must be greater than zero"
        );
        let host = HeaderValue::from_str(&address.to_string());
        Self {
            address,
            host: host.expect("an address is visible ASCII"),
            max_connections,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            pool: Rc::default(),
            counters: Rc::default(),
        }
    }

    /// Sets the largest body of a response, in bytes.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &ClientCounters {
        &self.counters
    }

    /// Sends a request and waits for the whole response, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] if no byte of the request was written, also after a
    /// timeout, and with [`CallError::Unknown`] if any byte may have been written.
    pub async fn call(&self, request: &Request, limit: Duration) -> Result<Response, CallError> {
        self.call_with_limits(request, CallLimits::total(limit))
            .await
    }

    /// Sends a request and waits for the whole response for as long as the limits allow.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::call`] does.
    pub async fn call_with_limits(
        &self,
        request: &Request,
        limits: CallLimits,
    ) -> Result<Response, CallError> {
        let progress = Rc::new(CallProgress::new());
        let mut exchange = pin!(self.exchange(request, &progress));
        loop {
            let deadline = progress.deadline(limits);
            if let Ok(result) = timeout_at(deadline, &mut exchange).await {
                return self.classify(result, &progress);
            }
            if progress.deadline(limits) <= deadline {
                return self.classify(Err(progress.timeout_fault()), &progress);
            }
        }
    }

    /// Sends a request whose response is a stream of lines.
    ///
    /// `limit` is the longest time until the head of the response has been received.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::call`] does, and with [`CallFault::Status`] if the status is not 200.
    pub async fn stream(
        &self,
        request: &Request,
        limit: Duration,
    ) -> Result<LineStream, CallError> {
        let progress = CallProgress::new();
        let open = self.open_stream(request, &progress);
        let result = timeout(limit, open).await;
        self.classify(
            result.unwrap_or_else(|_| Err(progress.timeout_fault())),
            &progress,
        )
    }

    fn classify<T>(
        &self,
        result: Result<T, CallFault>,
        progress: &CallProgress,
    ) -> Result<T, CallError> {
        result.map_err(|fault| {
            if progress.written_bytes.get() == 0 {
                increment(&self.counters.not_sent);
                CallError::NotSent(fault)
            } else {
                increment(&self.counters.unknown);
                CallError::Unknown(fault)
            }
        })
    }

    async fn exchange(
        &self,
        request: &Request,
        progress: &Rc<CallProgress>,
    ) -> Result<Response, CallFault> {
        let encode = || encode_request(request, &self.host);
        let sent = self.send(encode, &progress.written_bytes).await?;
        let (mut pooled, _permit, write_fault) = sent;
        let call_progress = Some(Rc::clone(progress));
        pooled.connection.set_call_progress(call_progress);
        let read = read_response(&mut pooled.connection, &request.method, self.max_body_bytes);
        let (response, reusable) = match (read.await, &write_fault) {
            (Ok(read), _) => read,
            (Err(_), Some(write_fault)) => return Err(write_fault.clone()),
            (Err(read_fault), None) => return Err(read_fault),
        };
        pooled.connection.set_call_progress(None);
        if reusable && write_fault.is_none() {
            self.pool.put_back(pooled);
        }
        Ok(response)
    }

    async fn open_stream(
        &self,
        request: &Request,
        progress: &CallProgress,
    ) -> Result<LineStream, CallFault> {
        let encode = || encode_request(request, &self.host);
        let sent = self.send(encode, &progress.written_bytes).await?;
        let (mut pooled, permit, write_fault) = sent;
        if let Some(fault) = write_fault {
            return Err(fault);
        }
        let head = read_response_head(&mut pooled.connection).await?;
        if head.status != http::StatusCode::OK {
            return Err(CallFault::Status(head.status.as_u16()));
        }
        match body_length(&head.headers).map_err(|error| fault_from_read_error(&error))? {
            BodyLength::Chunked => Ok(LineStream::new(pooled, permit)),
            _ => Err(CallFault::InvalidResponse("not a stream".to_owned())),
        }
    }

    /// Writes the request on an idle connection, or on a new one.
    ///
    /// Returns the fault along with the connection if the write failed midway: the peer may
    /// have rejected the request early, and its response may still be readable.
    async fn send(
        &self,
        encode: impl Fn() -> Result<http::Request<HttpBody>, CallFault>,
        written_bytes: &Cell<u64>,
    ) -> Result<(PooledConnection, Permit, Option<CallFault>), CallFault> {
        let encoded = encode()?;
        let permit = self.pool.acquire(self.max_connections).await;
        if let Some(mut pooled) = self.pool.take_idle() {
            increment(&self.counters.reuses);
            let stream = &mut pooled.connection.stream;
            let result = write_request(stream, encoded, written_bytes).await;
            // If no byte was written, the request can safely be sent on a new connection.
            if result.is_ok() || written_bytes.get() > 0 {
                return Ok((pooled, permit, result.err()));
            }
        }
        let encoded = encode()?;
        let connected = connect(self.address).await;
        let mut pooled = connected.map_err(|error| fault_from_connect_error(&error))?;
        increment(&self.counters.connects);
        let stream = &mut pooled.connection.stream;
        match write_request(stream, encoded, written_bytes).await {
            Err(fault) if written_bytes.get() == 0 => Err(fault),
            result => Ok((pooled, permit, result.err())),
        }
    }
}

fn fault_from_connect_error(error: &io::Error) -> CallFault {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        CallFault::Refused
    } else {
        CallFault::Connect(error.to_string())
    }
}
