//! Calls on leases.

use serde::{Deserialize, Serialize};

use super::{Header, int64};

/// Grants, renews or revokes a lease.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Lease; zero lets the service choose.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub id: u64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub ttl_s: u64,
}

/// Answers a [`LeaseRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// Lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub id: u64,
    /// Time left, in seconds; zero if the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "int64::is_zero")]
    pub ttl_s: u64,
}
