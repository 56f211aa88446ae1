//! Client of the platform's key-value service: the JSON form of the etcd v3 API.

mod client;
mod counters;
mod error;
mod lease;
mod transport;
mod watch;
pub mod wire;

pub use client::{Entry, Listing, Platform, Swap, Versioned};
pub use counters::PlatformCounters;
pub use error::PlatformError;
pub use watch::{Watch, WatchBatch, WatchError, WatchEvent};
