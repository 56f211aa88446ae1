//! Messages of watches.

use serde::{Deserialize, Serialize};

use super::{Base64Bytes, Header, KeyValue, int64};

/// Request to open a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Parameters of the watch.
    pub create_request: WatchCreate,
}

/// Parameters of a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64Bytes,
    /// Exclusive end of the range; empty selects the single key.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
    /// First revision to report; zero reports only future changes.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub start_revision: u64,
}

/// Kind of a change.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, explicitly or because its lease ended.
    Delete,
}

/// Change of a key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// Key after the change; without a value if it was deleted.
    pub kv: KeyValue,
}

/// Message of a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// Whether this message confirms the creation of the watch.
    pub created: bool,
    /// Whether the service has ended the watch.
    pub canceled: bool,
    /// Oldest available revision if the watch requested an older one, otherwise zero.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub compact_revision: u64,
    /// Changes in order.
    pub events: Vec<Event>,
}
