//! Errors of a call, by what the peer may have seen of the request.

use derive_more::{Display, Error};

/// A failed call.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request left; the peer cannot have acted on it.
    #[display("request not sent: {_0}")]
    NotSent(#[error(not(source))] CallFault),
    /// Part of the request may have left; the peer may have acted on it.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] CallFault),
}

/// What went wrong in a call.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// The time for the call ran out.
    #[display("timeout")]
    TimedOut,
    /// The connection could not be opened.
    #[display("connect failed: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection broke.
    #[display("{_0}")]
    Broken(#[error(not(source))] String),
    /// The request cannot be encoded.
    #[display("invalid request: {_0}")]
    InvalidRequest(#[error(not(source))] String),
    /// The response is not valid HTTP, or too large.
    #[display("invalid response: {_0}")]
    InvalidResponse(#[error(not(source))] String),
    /// The peer answered a request for a stream with this status.
    #[display("unexpected status {_0}")]
    Status(#[error(not(source))] u16),
}

impl CallError {
    /// Returns what went wrong.
    #[must_use]
    pub fn fault(&self) -> &CallFault {
        match self {
            Self::NotSent(fault) | Self::Unknown(fault) => fault,
        }
    }
}
