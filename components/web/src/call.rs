//! Errors of a call, classified by whether the peer may have received the request.

use std::cell::Cell;
use std::time::Duration;

use derive_more::{Display, Error};
use monoio::time::Instant;

/// A failed call.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was written; the peer cannot have acted on it.
    #[display("request not sent: {_0}")]
    NotSent(#[error(not(source))] CallFault),
    /// Part of the request may have been written; the peer may have acted on it.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] CallFault),
}

/// Cause of a failed call.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// The call timed out before any byte of the response was received.
    #[display("timeout")]
    TimedOut,
    /// The call timed out when a part of the response had been received.
    #[display("timeout after {received_bytes} bytes of the response")]
    Incomplete {
        /// Number of bytes received.
        received_bytes: u64,
    },
    /// The connection was refused: no process listens at the address.
    #[display("connection refused")]
    Refused,
    /// The connection could not be opened for another reason.
    #[display("connect failed: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection broke.
    #[display("{_0}")]
    Broken(#[error(not(source))] String),
    /// The request cannot be encoded.
    #[display("invalid request: {_0}")]
    InvalidRequest(#[error(not(source))] String),
    /// The response is invalid or too large.
    #[display("invalid response: {_0}")]
    InvalidResponse(#[error(not(source))] String),
    /// The peer answered a request for a stream with this status.
    #[display("unexpected status {_0}")]
    Status(#[error(not(source))] u16),
}

impl CallError {
    /// Returns the cause.
    #[must_use]
    pub fn fault(&self) -> &CallFault {
        match self {
            Self::NotSent(fault) | Self::Unknown(fault) => fault,
        }
    }
}

/// Time limits of a call whose response may take long to transfer.
///
/// A limit of the whole call alone would have to grow with the size of the response and with the load
/// of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest time until the first byte of the response.
    pub response: Duration,
    /// Longest time without a further byte of the response.
    pub idle: Duration,
    /// Longest time of the whole call.
    pub total: Duration,
}

impl CallLimits {
    /// Returns limits that end a call after this time, whether it progresses or not.
    #[must_use]
    pub fn total(limit: Duration) -> Self {
        Self {
            response: limit,
            idle: limit,
            total: limit,
        }
    }
}

/// How far a call has got.
#[derive(Debug)]
pub(crate) struct CallProgress {
    started_at: Instant,
    last_received_at: Cell<Option<Instant>>,
    /// Bytes of the request that the kernel has accepted.
    pub(crate) written_bytes: Cell<u64>,
    /// Bytes of the response that were read.
    pub(crate) received_bytes: Cell<u64>,
}

impl CallProgress {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            last_received_at: Cell::default(),
            written_bytes: Cell::default(),
            received_bytes: Cell::default(),
        }
    }

    /// Records that bytes of the response were read.
    pub(crate) fn record_received(&self, count: usize) {
        let received_bytes = self.received_bytes.get() + count as u64;
        self.received_bytes.set(received_bytes);
        self.last_received_at.set(Some(Instant::now()));
    }

    /// Returns when the call times out unless further bytes are received.
    pub(crate) fn deadline(&self, limits: CallLimits) -> Instant {
        let next_byte_at = match self.last_received_at.get() {
            None => self.started_at + limits.response,
            Some(last_received_at) => last_received_at + limits.idle,
        };
        next_byte_at.min(self.started_at + limits.total)
    }

    /// Returns the fault of a call that has timed out.
    pub(crate) fn timeout_fault(&self) -> CallFault {
        match self.received_bytes.get() {
            0 => CallFault::TimedOut,
            received_bytes => CallFault::Incomplete { received_bytes },
        }
    }
}
