//! Client that sends tasks to one target.

use std::net::SocketAddr;

use bytes::Bytes;
use web::{CallError, Client, Response};

use crate::invocation::{Invocation, NOT_STARTED_HEADER};

const MAX_ERROR_TEXT_BYTES: usize = 512;

/// Outcome of an invocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvokeOutcome {
    /// The task completed; holds its result.
    Done(Bytes),
    /// The target responded that the task failed; holds the error text.
    Failed(String),
    /// The target did not start the task, so that a retry is safe; holds the reason.
    NotStarted(String),
    /// The target may have started the task, but its outcome is unknown; holds the reason.
    Unknown(String),
}

/// Client that sends tasks to one target; does not retry.
#[derive(Clone)]
pub struct Invoker {
    client: Client,
}

impl Invoker {
    /// Creates an invoker that opens at most `max_connections` connections to the target.
    ///
    /// # Panics
    ///
    /// Panics if `max_connections` is zero.
    #[must_use]
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self::with_client(Client::new(address, max_connections))
    }

    /// Creates an invoker that uses an existing HTTP client.
    #[must_use]
    pub fn with_client(client: Client) -> Self {
        Self { client }
    }

    /// Returns the HTTP client.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a task and waits for its outcome.
    pub async fn invoke(&self, invocation: &Invocation) -> InvokeOutcome {
        let request = invocation.request();
        match self.client.call(&request, invocation.timeout).await {
            Ok(response) => response_outcome(response),
            Err(CallError::NotSent(fault)) => InvokeOutcome::NotStarted(fault.to_string()),
            Err(CallError::Unknown(fault)) => InvokeOutcome::Unknown(fault.to_string()),
        }
    }
}

fn response_outcome(response: Response) -> InvokeOutcome {
    let is_not_started = matches!(response.status, 429 | 503)
        && response.header(NOT_STARTED_HEADER.as_str()) == Some("true");
    match response.status {
        200 => InvokeOutcome::Done(response.body),
        _ if is_not_started => InvokeOutcome::NotStarted(error_text(&response)),
        _ => InvokeOutcome::Failed(error_text(&response)),
    }
}

fn error_text(response: &Response) -> String {
    let length = response.body.len().min(MAX_ERROR_TEXT_BYTES);
    let text = String::from_utf8_lossy(&response.body[..length]);
    format!("status {}: {text}", response.status)
}
