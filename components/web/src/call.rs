//! Errors of a call, classified by whether the peer may have received the request.

use std::cell::Cell;

use derive_more::{Display, Error};

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

/// How far a call has got.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    /// Bytes of the request that the kernel has accepted.
    pub(crate) written_bytes: Cell<u64>,
    /// Bytes of the response that were read.
    pub(crate) received_bytes: Cell<u64>,
}

impl CallProgress {
    /// Returns the fault of a call that has timed out.
    pub(crate) fn timeout_fault(&self) -> CallFault {
        match self.received_bytes.get() {
            0 => CallFault::TimedOut,
            received_bytes => CallFault::Incomplete { received_bytes },
        }
    }
}
