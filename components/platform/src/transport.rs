//! Sends calls to one of several addresses and classifies their failures.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{CallError, CallFault, CallLimits, Client, LineStream, Request, Response};

use crate::counters::{PlatformCounters, increment};
use crate::error::PlatformError;
use crate::wire::{CODE_NOT_FOUND, ErrorResponse};

/// Maximum number of connections to one address; each open watch occupies one.
const MAX_CONNECTIONS: usize = 32;

/// Longest time that the transfer of a response may take, in milliseconds: a configuration of the
/// largest size that the store accepts, on the slowest link.
const TRANSFER_LIMIT_MS: u64 = 10_000;

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OperationKind {
    Read,
    Write,
}

pub(crate) struct Transport {
    clients: Vec<Client>,
    current: Cell<usize>,
    call_timeout: Duration,
    pub(crate) counters: Rc<PlatformCounters>,
}

impl Transport {
    pub(crate) fn new(addresses: Vec<SocketAddr>, call_timeout_ms: u64) -> Self {
        assert!(
            !addresses.is_empty(),
            "at least one platform address is required"
        );
        let client = |address| Client::new(address, MAX_CONNECTIONS);
        Self {
            clients: addresses.into_iter().map(client).collect(),
            current: Cell::new(0),
            call_timeout: Duration::from_millis(call_timeout_ms),
            counters: Rc::default(),
        }
    }

    /// Calls the etcd API and parses the response; a read that could not be sent is retried at the
    /// next address.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        kind: OperationKind,
        counter: &Cell<u64>,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let request = Request::post_json(path, body);
        let limit = self.call_timeout;
        let result = self.call_addresses(kind, counter, &request, limit).await;
        let parsed = match result {
            Ok(response) => parse_response(kind, &response),
            Err(error) => Err(call_error(kind, &error)),
        };
        parsed.inspect_err(|error| self.count_failure(error))
    }

    /// Sends a prepared request and returns the response whatever its status; retries as
    /// [`Self::call`] does. `limit` is the longest time until the response begins.
    pub(crate) async fn send(
        &self,
        kind: OperationKind,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, PlatformError> {
        let result = self.call_addresses(kind, counter, request, limit).await;
        result
            .map_err(|error| call_error(kind, &error))
            .inspect_err(|error| self.count_failure(error))
    }

    async fn call_addresses(
        &self,
        kind: OperationKind,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let mut attempts_left = match kind {
            OperationKind::Read => self.clients.len(),
            OperationKind::Write => 1,
        };
        loop {
            increment(counter);
            attempts_left -= 1;
            let limits = self.limits(limit);
            let result = self.client().call_with_limits(request, limits).await;
            match result {
                Err(CallError::NotSent(_)) if attempts_left > 0 => self.switch_address(),
                Err(error) => {
                    self.switch_address();
                    return Err(error);
                }
                Ok(response) => return Ok(response),
            }
        }
    }

    /// Opens a stream; a request that could not be sent is retried at the next address.
    pub(crate) async fn stream(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<LineStream, PlatformError> {
        let request = Request::post_json(path, body);
        let mut attempts_left = self.clients.len();
        loop {
            increment(&self.counters.watches_opened);
            attempts_left -= 1;
            match self.client().stream(&request, self.call_timeout).await {
                Ok(stream) => return Ok(stream),
                Err(CallError::NotSent(_)) if attempts_left > 0 => self.switch_address(),
                Err(error) => {
                    self.switch_address();
                    let error = call_error(OperationKind::Read, &error);
                    self.count_failure(&error);
                    return Err(error);
                }
            }
        }
    }

    /// Returns the limits of a call whose response begins within `response`.
    fn limits(&self, response: Duration) -> CallLimits {
        CallLimits {
            response,
            idle: self.call_timeout,
            total: response + Duration::from_millis(TRANSFER_LIMIT_MS),
        }
    }

    pub(crate) fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    fn client(&self) -> &Client {
        &self.clients[self.current.get()]
    }

    /// Switches to the next address, for a retry of this call and for later calls.
    fn switch_address(&self) {
        self.current
            .set((self.current.get() + 1) % self.clients.len());
    }

    fn count_failure(&self, error: &PlatformError) {
        match error {
            PlatformError::Unknown(_) => increment(&self.counters.unknown),
            PlatformError::NotApplied(_) | PlatformError::LeaseNotFound => {
                increment(&self.counters.not_applied);
            }
        }
    }
}

fn call_error(kind: OperationKind, error: &CallError) -> PlatformError {
    match (kind, error) {
        (OperationKind::Write, CallError::Unknown(fault)) => {
            PlatformError::Unknown(fault.to_string())
        }
        (_, CallError::Unknown(CallFault::Status(status))) => {
            PlatformError::NotApplied(format!("status {status}"))
        }
        (_, error) => PlatformError::NotApplied(error.fault().to_string()),
    }
}

fn parse_response<T: DeserializeOwned>(
    kind: OperationKind,
    response: &Response,
) -> Result<T, PlatformError> {
    if response.status != 200 {
        return Err(status_error(kind, response));
    }
    response
        .parse()
        .map_err(|error| unconfirmed_error(kind, format!("malformed response: {error}")))
}

/// Classifies a response with an error status.
///
/// A server error may come from a write that timed out inside the service and is applied later.
/// A client error is returned before the write is proposed.
fn status_error(kind: OperationKind, response: &Response) -> PlatformError {
    let body: ErrorResponse = response.parse().unwrap_or_default();
    let text = format!("status {}: {}", response.status, body.message);
    match response.status {
        404 if body.code == CODE_NOT_FOUND => PlatformError::LeaseNotFound,
        400..=499 => PlatformError::NotApplied(text),
        _ => unconfirmed_error(kind, text),
    }
}

fn unconfirmed_error(kind: OperationKind, text: String) -> PlatformError {
    match kind {
        OperationKind::Read => PlatformError::NotApplied(text),
        OperationKind::Write => PlatformError::Unknown(text),
    }
}
