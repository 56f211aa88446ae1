//! Call statistics of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Call statistics since the start of the stand-in.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformStats {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Grants and revocations of leases.
    pub lease_changes: u64,
    /// Renewals of leases.
    pub keep_alives: u64,
    /// Watches opened.
    pub watches_opened: u64,
    /// Currently open watches.
    pub watches_open: u64,
    /// Calls rejected because they exceeded a rate limit.
    pub rejected: u64,
    /// Calls that failed due to an injected outage.
    pub unavailable: u64,
    /// Writes that took effect but whose response was dropped.
    pub lost_answers: u64,
    /// Expired leases.
    pub expired_leases: u64,
    /// Revision of the store.
    pub revision: u64,
}
