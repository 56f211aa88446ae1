//! Decisions about passing state on between peers: whom a process calls, and when.
//!
//! Handles entries and agents that the platform's store refuses while it serves others, and a loss
//! of power after which such processes start with an empty memory. The `gateway` and `sidecar`
//! crates do the I/O; times are in milliseconds on a monotonic clock of the caller.

mod announcer;
mod download;
mod exchange;
mod limits;
mod peer_set;

pub use announcer::Announcer;
pub use download::{Download, Downloaded, NextPart, Part};
pub use exchange::{Exchange, Knowledge, PeerStatus, Query, ReplySummary, StorePart};
pub use limits::{
    ANNOUNCE_DELAY_MS, ANNOUNCE_SPREAD_MS, MAX_CONFIGURATION_BYTES, MAX_HOSTS_IN_REPLY,
    MAX_NAMED_PEERS, MAX_PARALLEL_CALLS, MAX_PART_BYTES, MAX_PEERS, OFFER_DELAY_MS,
    OFFER_DURATION_MS, QUERY_DELAY_MS, REFRESH_INTERVAL_MS, RESUMABLE_PERIOD_MS,
};
