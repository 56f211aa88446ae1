//! Clients of the platform's key-value service: [`PlatformClient`] uses the etcd v3 API with JSON
//! encoding, [`StoreClient`] uses the API that the package `adapter` encodes. Both use the same
//! transport, timeouts and retries.

mod client;
mod counters;
mod error;
mod key_set;
mod lease;
mod store;
mod transport;
mod watch;
pub mod wire;

pub use client::{KeyEntry, Listing, PlatformClient, SwapResult, VersionedValue};
pub use counters::PlatformCounters;
pub use error::PlatformError;
pub use store::{StoreClient, StoreError};
pub use watch::{Watch, WatchBatch, WatchError, WatchEvent};
