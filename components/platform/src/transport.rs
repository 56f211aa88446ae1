//! Sends calls to one of several addresses and sorts their failures.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{CallError, CallFault, Client, LineStream, Request, Response};

use crate::counters::{PlatformCounters, increment};
use crate::error::PlatformError;
use crate::wire::{CODE_NOT_FOUND, ErrorResponse};

/// Connections to one address; watches hold one each.
const MAX_CONNECTIONS: usize = 32;

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
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
        assert!(!addresses.is_empty(), "the platform has an address");
        let client = |address| Client::new(address, MAX_CONNECTIONS);
        Self {
            clients: addresses.into_iter().map(client).collect(),
            current: Cell::new(0),
            call_timeout: Duration::from_millis(call_timeout_ms),
            counters: Rc::default(),
        }
    }

    /// Calls the service; a read goes on to the next address if it could not be sent.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        effect: Effect,
        counter: &Cell<u64>,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let request = Request::post_json(path, body);
        let limit = self.call_timeout;
        let result = self.call_addresses(effect, counter, &request, limit).await;
        let parsed = match result {
            Ok(response) => parse_response(effect, &response),
            Err(error) => Err(call_error(effect, &error)),
        };
        parsed.inspect_err(|error| self.count(error))
    }

    /// Sends a call in the form of another service; any answer counts.
    pub(crate) async fn send(
        &self,
        effect: Effect,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, PlatformError> {
        let result = self.call_addresses(effect, counter, request, limit).await;
        result
            .map_err(|error| call_error(effect, &error))
            .inspect_err(|error| self.count(error))
    }

    async fn call_addresses(
        &self,
        effect: Effect,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let mut attempts_left = match effect {
            Effect::Read => self.clients.len(),
            Effect::Write => 1,
        };
        loop {
            increment(counter);
            attempts_left -= 1;
            let result = self.client().call(request, limit).await;
            match result {
                Err(CallError::NotSent(_)) if attempts_left > 0 => self.advance(),
                Err(error) => {
                    self.advance();
                    return Err(error);
                }
                Ok(response) => return Ok(response),
            }
        }
    }

    /// Opens a stream; goes on to the next address if the request could not be sent.
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
                Err(CallError::NotSent(_)) if attempts_left > 0 => self.advance(),
                Err(error) => {
                    self.advance();
                    let error = call_error(Effect::Read, &error);
                    self.count(&error);
                    return Err(error);
                }
            }
        }
    }

    pub(crate) fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    fn client(&self) -> &Client {
        &self.clients[self.current.get()]
    }

    /// Turns to the next address for this call or the calls to come.
    fn advance(&self) {
        self.current
            .set((self.current.get() + 1) % self.clients.len());
    }

    fn count(&self, error: &PlatformError) {
        match error {
            PlatformError::Unknown(_) => increment(&self.counters.unknown),
            PlatformError::NotApplied(_) | PlatformError::LeaseNotFound => {
                increment(&self.counters.not_applied);
            }
        }
    }
}

fn call_error(effect: Effect, error: &CallError) -> PlatformError {
    match (effect, error) {
        (Effect::Write, CallError::Unknown(fault)) => PlatformError::Unknown(fault.to_string()),
        (_, CallError::Unknown(CallFault::Status(status))) => {
            PlatformError::NotApplied(format!("status {status}"))
        }
        (_, error) => PlatformError::NotApplied(error.fault().to_string()),
    }
}

fn parse_response<T: DeserializeOwned>(
    effect: Effect,
    response: &Response,
) -> Result<T, PlatformError> {
    if response.status != 200 {
        return Err(status_error(effect, response));
    }
    response
        .parse()
        .map_err(|error| uncertain(effect, format!("bad answer: {error}")))
}

/// Sorts an error status.
///
/// A server error may come from a write that timed out inside the service and is
/// applied later; a client error comes before the write is proposed.
fn status_error(effect: Effect, response: &Response) -> PlatformError {
    let body: ErrorResponse = response.parse().unwrap_or_default();
    let text = format!("status {}: {}", response.status, body.message);
    match response.status {
        404 if body.code == CODE_NOT_FOUND => PlatformError::LeaseNotFound,
        400..=499 => PlatformError::NotApplied(text),
        _ => uncertain(effect, text),
    }
}

fn uncertain(effect: Effect, text: String) -> PlatformError {
    match effect {
        Effect::Read => PlatformError::NotApplied(text),
        Effect::Write => PlatformError::Unknown(text),
    }
}
