//! Reads, writes and transactions.

use serde::{Deserialize, Serialize};

use super::{Blob, Header, int64};

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
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
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
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
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
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub version: u64,
    /// Operand for [`CompareTarget::Create`].
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub create_revision: u64,
    /// Operand for [`CompareTarget::Mod`].
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
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
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
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
