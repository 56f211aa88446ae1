//! Messages of calls on leases.

use serde::{Deserialize, Serialize};

use super::{Header, int64};

/// Request to grant, renew or revoke a lease.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// ID of the lease; in a grant, zero requests an ID chosen by the service.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub id: u64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub ttl_s: u64,
}

/// Response to a [`LeaseRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// ID of the lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub id: u64,
    /// Remaining time to live, in seconds; zero if the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub ttl_s: u64,
}
