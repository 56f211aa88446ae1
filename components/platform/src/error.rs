//! Errors of calls to the platform.

use derive_more::{Display, Error};

/// Error of a call, classified by whether the call may have taken effect.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect; failed reads always return this variant.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] String),
    /// The response was lost or is ambiguous; the write may have taken effect.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The lease does not exist or has expired; the call had no effect.
    #[display("lease does not exist")]
    LeaseNotFound,
}
