//! Watches.

use serde::{Deserialize, Serialize};

use super::{Blob, Header, KeyValue, int64};

/// Opens a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// Describes a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for the one key.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// First revision of interest; zero for changes from now on.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub start_revision: u64,
}

/// Kind of a change.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    /// The key was set.
    #[default]
    Put,
    /// The key was deleted, also by the end of its lease.
    Delete,
}

/// A change of a key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key after the change; without value if deleted.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// Whether this message confirms the creation.
    pub created: bool,
    /// Whether the service has ended the watch.
    pub canceled: bool,
    /// Oldest revision still available, if the watch asked for an older one.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub compact_revision: u64,
    /// Changes, in order.
    pub events: Vec<Event>,
}
