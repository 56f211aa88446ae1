//! Reads and conditional writes.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;

use crate::counters::PlatformCounters;
use crate::error::PlatformError;
use crate::transport::{Effect, Transport};
use crate::wire::{
    Blob, Compare, CompareTarget, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp,
    TxnRequest, TxnResponse, prefix_end,
};

/// Client of the platform's key-value service; clones share connections and counters.
#[derive(Clone)]
pub struct Platform {
    pub(crate) transport: Rc<Transport>,
}

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub mod_revision: u64,
    /// Lease that the key is bound to; zero for none.
    pub lease: u64,
}

/// A key in a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value with its revision.
    pub versioned: Versioned,
}

/// All keys of a prefix at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The keys, in order.
    pub entries: Vec<Entry>,
    /// Revision of the store; a watch from the next one misses nothing.
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
    /// The key had another revision; nothing was written.
    Conflict {
        /// The key as it is; `None` if absent.
        current: Option<Versioned>,
    },
}

impl Platform {
    /// Creates a client; each call takes at most `call_timeout_ms` per address.
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

    /// Reads a key; `None` if absent.
    ///
    /// # Errors
    ///
    /// Fails if no address answers in time.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError> {
        let response = self.range(&read_key(key)).await?;
        Ok(response.kvs.into_iter().next().map(Versioned::from))
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if no address answers in time.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let request = RangeRequest {
            key: Blob::from(prefix),
            range_end: prefix_end(prefix.as_bytes()),
        };
        let response = self.range(&request).await?;
        Ok(Listing {
            entries: response.kvs.into_iter().map(Entry::from).collect(),
            revision: response.header.revision,
        })
    }

    /// Sets a key if its revision is still `expected_mod_revision`; zero expects no key.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unknown`] if the write may have taken effect although
    /// no answer came, and otherwise with an error that says it has not.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<Swap, PlatformError> {
        let put = PutRequest {
            key: Blob::from(key),
            value: Blob(value),
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
        let operation = delete_key(key);
        self.swap(key, expected_mod_revision, operation).await
    }

    /// Deletes a key whatever its revision; an absent key is no error.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::compare_and_swap`] does.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let request = TxnRequest {
            success: vec![delete_key(key)],
            ..TxnRequest::default()
        };
        self.txn(&request).await.map(|_| ())
    }

    async fn range(&self, request: &RangeRequest) -> Result<RangeResponse, PlatformError> {
        let counter = &self.counters().reads;
        self.transport
            .call(Effect::Read, counter, "/v3/kv/range", request)
            .await
    }

    async fn txn(&self, request: &TxnRequest) -> Result<TxnResponse, PlatformError> {
        let counter = &self.counters().writes;
        self.transport
            .call(Effect::Write, counter, "/v3/kv/txn", request)
            .await
    }

    async fn swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        operation: RequestOp,
    ) -> Result<Swap, PlatformError> {
        let condition = Compare {
            key: Blob::from(key),
            target: CompareTarget::Mod,
            mod_revision: expected_mod_revision,
            ..Compare::default()
        };
        let read_back = RequestOp {
            request_range: Some(read_key(key)),
            ..RequestOp::default()
        };
        let request = TxnRequest {
            compare: vec![condition],
            success: vec![operation],
            failure: vec![read_back],
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

fn read_key(key: &str) -> RangeRequest {
    RangeRequest {
        key: Blob::from(key),
        range_end: Blob::default(),
    }
}

fn delete_key(key: &str) -> RequestOp {
    RequestOp {
        request_delete_range: Some(read_key(key)),
        ..RequestOp::default()
    }
}
