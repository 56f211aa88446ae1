//! Clients of the platform's key-value service: [`Platform`] uses the etcd v3 API with JSON
//! encoding, [`Store`] uses the API that the package `adapter` encodes. Both use the same
//! transport, timeouts and retries.

mod client;
mod counters;
mod error;
mod lease;
mod store;
mod transport;
mod watch;
pub mod wire;

pub use client::{Entry, Listing, Platform, Swap, Versioned};
pub use counters::PlatformCounters;
pub use error::PlatformError;
pub use store::{Store, StoreFault};
pub use watch::{Watch, WatchBatch, WatchError, WatchEvent};
