//! Clients of the platform's key-value service: in the JSON form of the etcd v3 API, and as the
//! store that the adapter describes. Both share transport, time-outs and retries.

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
