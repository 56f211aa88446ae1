//! Errors of calls to the platform.

use derive_more::{Display, Error};

/// A failed call, by what may have happened in the store.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect; reads fail only with this one.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] String),
    /// The answer was lost; the write may have taken effect.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The lease does not exist, or not any more; the call had no effect.
    #[display("lease does not exist")]
    LeaseNotFound,
}
