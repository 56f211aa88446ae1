//! Numbers of calls to the stand-in for the platform.

use serde::{Deserialize, Serialize};

/// Numbers of calls since the start.
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
    /// Watches waiting now.
    pub watches_open: u64,
    /// Calls above the rates that were rejected.
    pub rejected: u64,
    /// Calls that met an outage.
    pub unavailable: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Leases that expired.
    pub expired_leases: u64,
    /// Revision of the store.
    pub revision: u64,
}
