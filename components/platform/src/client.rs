//! Client of the etcd v3 API: reads, listings and conditional writes.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;

use crate::counters::PlatformCounters;
use crate::error::PlatformError;
use crate::transport::{OperationKind, Transport};
use crate::wire::{
    Base64Bytes, Compare, CompareTarget, KeyValue, PutRequest, RangeRequest, RangeResponse,
    RequestOp, TxnRequest, TxnResponse, prefix_end,
};

/// Client of the platform's key-value service; clones share their connections and counters.
#[derive(Clone)]
pub struct Platform {
    pub(crate) transport: Rc<Transport>,
}

/// Value of a key with its revision and lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub mod_revision: u64,
    /// Lease that the key is attached to; zero if none.
    pub lease: u64,
}

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value with its revision and lease.
    pub versioned: Versioned,
}

/// All keys with a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Keys in ascending order.
    pub entries: Vec<Entry>,
    /// Revision of the store; a watch from the next revision misses no change.
    pub revision: u64,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect.
    Done {
        /// New revision of the key, or of the deletion.
        revision: u64,
    },
    /// The key had a different revision; nothing was written.
    Conflict {
        /// Current value of the key; `None` if the key does not exist.
        current: Option<Versioned>,
    },
}

impl Platform {
    /// Creates a client with a timeout per call and address.
    ///
    /// # Panics
    ///
    /// Panics if `addresses` is empty.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, call_timeout_ms: u64) -> Self {
        Self {
            transport: Rc::new(Transport::new(addresses, call_timeout_ms)),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &PlatformCounters {
        &self.transport.counters
    }

    /// Reads a key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if no valid response is received in time.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError> {
        let response = self.range(&key_range(key)).await?;
        Ok(response.kvs.into_iter().next().map(Versioned::from))
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if no valid response is received in time.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let request = RangeRequest {
            key: Base64Bytes::from(prefix),
            range_end: prefix_end(prefix.as_bytes()),
        };
        let response = self.range(&request).await?;
        Ok(Listing {
            entries: response.kvs.into_iter().map(Entry::from).collect(),
            revision: response.header.revision,
        })
    }

    /// Writes a key if its revision is still `expected_mod_revision`; zero requires that the key
    /// does not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unknown`] if the write may have taken effect; any other error
    /// means that it has not.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<Swap, PlatformError> {
        let put = PutRequest {
            key: Base64Bytes::from(key),
            value: Base64Bytes(value),
            lease: lease.unwrap_or(0),
        };
        let operation = RequestOp {
            request_put: Some(put),
            ..RequestOp::default()
        };
        self.swap(key, expected_mod_revision, operation).await
    }

    /// Deletes a key if its revision is still `expected_mod_revision`.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::compare_and_swap`] does.
    pub async fn compare_and_delete(
        &self,
        key: &str,
        expected_mod_revision: u64,
    ) -> Result<Swap, PlatformError> {
        let operation = delete_operation(key);
        self.swap(key, expected_mod_revision, operation).await
    }

    /// Deletes a key unconditionally; succeeds also if the key does not exist.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::compare_and_swap`] does.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let request = TxnRequest {
            success: vec![delete_operation(key)],
            ..TxnRequest::default()
        };
        self.txn(&request).await.map(|_| ())
    }

    async fn range(&self, request: &RangeRequest) -> Result<RangeResponse, PlatformError> {
        let counter = &self.counters().reads;
        self.transport
            .call(OperationKind::Read, counter, "/v3/kv/range", request)
            .await
    }

    async fn txn(&self, request: &TxnRequest) -> Result<TxnResponse, PlatformError> {
        let counter = &self.counters().writes;
        self.transport
            .call(OperationKind::Write, counter, "/v3/kv/txn", request)
            .await
    }

    async fn swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        operation: RequestOp,
    ) -> Result<Swap, PlatformError> {
        let condition = Compare {
            key: Base64Bytes::from(key),
            target: CompareTarget::Mod,
            mod_revision: expected_mod_revision,
            ..Compare::default()
        };
        let read_current = RequestOp {
            request_range: Some(key_range(key)),
            ..RequestOp::default()
        };
        let request = TxnRequest {
            compare: vec![condition],
            success: vec![operation],
            failure: vec![read_current],
        };
        self.txn(&request).await.map(Swap::from)
    }
}

impl From<TxnResponse> for Swap {
    fn from(response: TxnResponse) -> Self {
        if response.succeeded {
            let revision = response.header.revision;
            return Self::Done { revision };
        }
        let ranges = response.responses.into_iter();
        let mut kvs = ranges
            .filter_map(|op| op.response_range)
            .flat_map(|r| r.kvs);
        let current = kvs.next().map(Versioned::from);
        Self::Conflict { current }
    }
}

impl From<KeyValue> for Versioned {
    fn from(kv: KeyValue) -> Self {
        Self {
            value: kv.value.0,
            mod_revision: kv.mod_revision,
            lease: kv.lease,
        }
    }
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            versioned: Versioned::from(kv),
        }
    }
}

fn key_range(key: &str) -> RangeRequest {
    RangeRequest {
        key: Base64Bytes::from(key),
        range_end: Base64Bytes::default(),
    }
}

fn delete_operation(key: &str) -> RequestOp {
    RequestOp {
        request_delete_range: Some(key_range(key)),
        ..RequestOp::default()
    }
}
