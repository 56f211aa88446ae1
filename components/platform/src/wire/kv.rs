//! Reads, writes and transactions.

use serde::{Deserialize, Serialize};

use super::{Base64Bytes, Header, int64};

/// Key with its value and revisions.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Base64Bytes,
    /// Value.
    pub value: Base64Bytes,
    /// Revision at which the key was created.
    #[serde(with = "int64")]
    pub create_revision: u64,
    /// Revision of the last change.
    #[serde(with = "int64")]
    pub mod_revision: u64,
    /// Number of writes since the key was created, including the creation.
    #[serde(with = "int64")]
    pub version: u64,
    /// Lease that the key is attached to; zero if none.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub lease: u64,
}

/// Request to read or delete a key, or all keys from `key` up to `range_end`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64Bytes,
    /// Exclusive end of the range; empty selects the single key.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
}

/// Response to a [`RangeRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Keys in ascending order.
    pub kvs: Vec<KeyValue>,
    /// Number of keys in the range.
    #[serde(with = "int64")]
    pub count: u64,
}

/// Request to write a key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64Bytes,
    /// Value.
    pub value: Base64Bytes,
    /// Lease to attach the key to; zero if none.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub lease: u64,
}

/// Attribute of a key that a comparison tests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision of the creation.
    Create,
    /// Revision of the last change.
    Mod,
    /// Value.
    Value,
}

/// Relation that a comparison requires between the stored value and the operand.
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

/// Condition of a transaction.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key; if it does not exist, its version and revisions are zero.
    pub key: Base64Bytes,
    /// Attribute to compare.
    pub target: CompareTarget,
    /// Required relation.
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
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub value: Base64Bytes,
}

/// Operation of a transaction; exactly one field is set.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads keys.
    #[serde(alias = "requestRange", skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Writes a key.
    #[serde(alias = "requestPut", skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes keys.
    #[serde(alias = "requestDeleteRange", skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Request to execute a transaction.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions; all must hold.
    pub compare: Vec<Compare>,
    /// Operations to execute if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to execute if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// Result of an operation; only the field for its kind is set.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Result of a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<ChangeResponse>,
    /// Result of a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<ChangeResponse>,
}

/// Result of a write or a deletion.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChangeResponse {
    /// Header.
    pub header: Header,
    /// Number of deleted keys.
    #[serde(with = "int64", skip_serializing_if = "int64::is_zero")]
    pub deleted: u64,
}

/// Response to a [`TxnRequest`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results in the order of the operations.
    pub responses: Vec<ResponseOp>,
}
