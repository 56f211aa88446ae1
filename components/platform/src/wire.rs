//! Messages of the etcd v3 API in their JSON form.
//!
//! 64-bit integers travel as decimal strings, keys and values as Base64.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

mod blob;
mod int64;
mod kv;
mod lease;
mod watch;

pub use blob::Blob;
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

/// Status code of gRPC for a malformed request.
pub const CODE_INVALID_ARGUMENT: i32 = 3;

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
