//! Messages of the etcd v3 API in JSON encoding.
//!
//! 64-bit integers are encoded as decimal strings, keys and values as Base64.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

mod base64_bytes;
mod int64;
mod kv;
mod lease;
mod watch;

pub use base64_bytes::Base64Bytes;
pub use kv::{
    ChangeResponse, Compare, CompareResult, CompareTarget, KeyValue, PutRequest, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};
pub use lease::{LeaseRequest, LeaseResponse};
pub use watch::{Event, EventType, WatchCreate, WatchRequest, WatchResponse};

/// Header of every response.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde(with = "int64")]
    pub revision: u64,
}

/// Envelope of a message in a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamMessage<T: Default> {
    /// The message.
    pub result: T,
}

/// Body of a response that reports an error.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorResponse {
    /// gRPC status code.
    pub code: i32,
    /// Error message.
    pub message: String,
}

/// gRPC status code for an invalid request.
pub const CODE_INVALID_ARGUMENT: i32 = 3;

/// gRPC status code for an object that does not exist.
pub const CODE_NOT_FOUND: i32 = 5;

/// gRPC status code for an exceeded rate limit.
pub const CODE_RESOURCE_EXHAUSTED: i32 = 8;

/// gRPC status code for an unavailable service.
pub const CODE_UNAVAILABLE: i32 = 14;

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Base64Bytes {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64Bytes(Bytes::from(end));
        }
    }
    // The API defines a single zero byte as a range end that includes all following keys.
    Base64Bytes(Bytes::from_static(&[0]))
}
