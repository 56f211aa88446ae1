//! Errors of calls and connections.

use derive_more::{Display, Error};
use tarpc::client::RpcError;

use crate::codec::ANSWER_TOO_LARGE;
use crate::hello::Refusal;

/// Why a call has no result, and whether the peer may have processed it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LinkError {
    /// The peer has not processed the call and never will.
    #[display("not sent: {_0}")]
    NotSent(LinkFault),
    /// The peer may have processed the call.
    #[display("outcome unknown: {_0}")]
    Unknown(LinkFault),
}

/// What went wrong on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LinkFault {
    /// The address is not of the form `ip:port`.
    #[display("address is not ip:port")]
    BadAddress,
    /// No process listens at the address (the TCP connection was refused): the peer has ended.
    #[display("no process listens at the address")]
    NobodyListens,
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The peer refused the connection.
    #[display("peer refused the connection: {_0}")]
    Refused(Refusal),
    /// The peer uses another protocol.
    #[display("peer uses another protocol")]
    NotProtocol,
    /// The deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The connection is closed.
    #[display("connection closed")]
    Closed,
    /// The call cannot be encoded or is larger than a frame.
    #[display("call cannot be encoded: {_0}")]
    Unsendable(#[error(not(source))] String),
    /// The peer's answer is larger than a frame.
    #[display("answer is larger than a frame")]
    AnswerTooLarge,
    /// The peer sent the response of another kind of call.
    #[display("peer sent the response of another kind of call")]
    CrossedAnswer,
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] String),
}

impl LinkError {
    /// Returns whether the peer may have processed the call.
    #[must_use]
    pub fn may_have_acted(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    pub(crate) fn from_rpc(error: RpcError) -> Self {
        match error {
            RpcError::Shutdown => Self::Unknown(LinkFault::Closed),
            RpcError::Send(cause) => Self::NotSent(LinkFault::Unsendable(cause.to_string())),
            RpcError::Channel(cause) => Self::Unknown(LinkFault::Broken(cause.to_string())),
            RpcError::DeadlineExceeded => Self::Unknown(LinkFault::DeadlinePassed),
            // Compares the detail, since the error kind is lost in `bincode`: `tarpc` encodes it
            // as a signed number and decodes it as an unsigned one.
            RpcError::Server(refusal) if refusal.detail == ANSWER_TOO_LARGE => {
                Self::Unknown(LinkFault::AnswerTooLarge)
            }
            RpcError::Server(cause) => Self::Unknown(LinkFault::Broken(cause.to_string())),
        }
    }
}
