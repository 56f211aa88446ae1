//! Messages of the etcd v3 API in their JSON form.
//!
//! 64-bit integers travel as decimal strings, keys and values as Base64.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

mod blob;
mod int64;

pub use blob::Blob;

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Header of every response.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde(with = "int64")]
    pub revision: u64,
}

/// A stored key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Blob,
    /// Value.
    pub value: Blob,
    /// Revision at which the key was created.
    #[serde(with = "int64")]
    pub create_revision: u64,
    /// Revision of the last change.
    #[serde(with = "int64")]
    pub mod_revision: u64,
    /// Number of changes since the creation.
    #[serde(with = "int64")]
    pub version: u64,
    /// Lease that the key is bound to; zero for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: u64,
}

/// Reads a key, or all keys up to `range_end`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for the one key.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
}

/// Answers a [`RangeRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Number of keys in the range.
    #[serde(with = "int64")]
    pub count: u64,
}

/// Sets a key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Blob,
    /// Value.
    pub value: Blob,
    /// Lease to bind the key to; zero for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: u64,
}

/// What a comparison looks at.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of changes.
    #[default]
    Version,
    /// Revision of the creation.
    Create,
    /// Revision of the last change.
    Mod,
    /// Value.
    Value,
}

/// How a comparison must come out.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// Greater.
    Greater,
    /// Less.
    Less,
    /// Not equal.
    NotEqual,
}

/// A condition of a transaction.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key; one that is absent counts as zero in all revisions.
    pub key: Blob,
    /// What is compared.
    pub target: CompareTarget,
    /// Required result.
    pub result: CompareResult,
    /// Operand for [`CompareTarget::Version`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub version: u64,
    /// Operand for [`CompareTarget::Create`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub create_revision: u64,
    /// Operand for [`CompareTarget::Mod`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub mod_revision: u64,
    /// Operand for [`CompareTarget::Value`].
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads.
    #[serde(alias = "requestRange", skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Sets a key.
    #[serde(alias = "requestPut", skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes keys.
    #[serde(alias = "requestDeleteRange", skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// A transaction.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions; all must hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<RequestOp>,
    /// Operations if one does not hold.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation; the field of its kind is set.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Result of a put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<ChangeResponse>,
    /// Result of a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<ChangeResponse>,
}

/// Answers a put or a deletion.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChangeResponse {
    /// Header.
    pub header: Header,
    /// Number of deleted keys.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub deleted: u64,
}

/// Answers a transaction.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Results in the order of the operations.
    pub responses: Vec<ResponseOp>,
}

/// Grants, renews or revokes a lease.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Lease; zero lets the service choose.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_zero")]
    pub id: u64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub ttl_s: u64,
}

/// Answers a [`LeaseRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// Lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_zero")]
    pub id: u64,
    /// Time left, in seconds; zero if the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub ttl_s: u64,
}

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
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
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
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub compact_revision: u64,
    /// Changes, in order.
    pub events: Vec<Event>,
}

/// Envelope of messages in a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Streamed<T: Default> {
    /// The message.
    pub result: T,
}

/// Body of a response that reports an error.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorResponse {
    /// Status code of gRPC.
    pub code: i32,
    /// Explanation.
    pub message: String,
}

/// Status code of gRPC for a thing that does not exist.
pub const CODE_NOT_FOUND: i32 = 5;

/// Status code of gRPC for a used-up rate.
pub const CODE_RESOURCE_EXHAUSTED: i32 = 8;

/// Status code of gRPC for a service that is away.
pub const CODE_UNAVAILABLE: i32 = 14;

/// Returns the end of the range of all keys that begin with `prefix`.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Blob {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(Bytes::from(end));
        }
    }
    // The API's sign for "to the last key".
    Blob(Bytes::from_static(&[0]))
}
