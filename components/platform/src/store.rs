//! Client of the key-value store whose API the package `adapter` encodes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{DecodeError, StoreCodec, StoreItem, StoreList, StoreRead, StoreReply, StoreWatch};
use derive_more::{Display, Error};
use web::{Request, Response};

use crate::counters::PlatformCounters;
use crate::error::PlatformError;
use crate::transport::{OperationKind, Transport};

/// Number of keys after which a listing stops; the directory of hosts is far smaller.
const MAX_LISTED: usize = 20_000;

/// Client of the store; clones share their connections and counters.
#[derive(Clone)]
pub struct StoreClient {
    transport: Rc<Transport>,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call could not be sent, or no response was received.
    #[display("{_0}")]
    Unanswered(PlatformError),
    /// The store rejected the call.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The key or the lease does not exist, or the requested history was compacted.
    #[display("missing")]
    Missing,
    /// A condition did not hold.
    #[display("condition not met")]
    Conflict,
    /// The response cannot be decoded.
    #[display("malformed response: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl StoreClient {
    /// Creates a client of the store at `address` with a timeout per call.
    #[must_use]
    pub fn new(address: SocketAddr, call_timeout_ms: u64) -> Self {
        Self {
            transport: Rc::new(Transport::new(vec![address], call_timeout_ms)),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &PlatformCounters {
        &self.transport.counters
    }

    /// Reads a key; a stale read is cheaper, but its value may be seconds old.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Missing`] if the key does not exist.
    pub async fn get(&self, key: &str, is_stale_allowed: bool) -> Result<StoreRead, StoreError> {
        let request = StoreCodec::get_request(key, is_stale_allowed);
        let response = self.read(&request, self.transport.call_timeout()).await?;
        into_result(StoreCodec::decode_get(&response))
    }

    /// Lists the keys that begin with `prefix`, with the revision from which to watch.
    ///
    /// # Errors
    ///
    /// Fails if a page cannot be read.
    pub async fn list(
        &self,
        prefix: &str,
        is_stale_allowed: bool,
    ) -> Result<StoreList, StoreError> {
        let mut listed: Vec<StoreItem> = Vec::new();
        let mut unreadable = Vec::new();
        let mut revision = None;
        loop {
            let after = listed.last().map_or("", |item| item.key.as_str());
            let request = StoreCodec::list_request(prefix, after, is_stale_allowed);
            let response = self.read(&request, self.transport.call_timeout()).await?;
            let page = into_result(StoreCodec::decode_list(&response))?;
            // A watch from the first page's revision includes the changes made during the listing.
            let revision = *revision.get_or_insert(page.revision);
            let is_last = !page.has_more || page.items.is_empty() || listed.len() >= MAX_LISTED;
            listed.extend(page.items);
            unreadable.extend(page.unreadable);
            if is_last {
                return Ok(StoreList {
                    items: listed,
                    unreadable,
                    has_more: false,
                    revision,
                });
            }
        }
    }

    /// Waits up to `wait_ms` for changes after a revision of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Missing`] if the history after that revision was compacted.
    pub async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait_ms: u64,
    ) -> Result<StoreWatch, StoreError> {
        let request = StoreCodec::watch_request(prefix, after_revision, wait_ms);
        let limit = Duration::from_millis(wait_ms) + self.transport.call_timeout();
        let response = self.read(&request, limit).await?;
        into_result(StoreCodec::decode_watch(&response))
    }

    /// Writes a key unconditionally and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Missing`] if the lease does not exist. After
    /// [`StoreError::Unanswered`] the write may have taken effect.
    pub async fn put(&self, key: &str, value: &[u8], lease: u64) -> Result<u64, StoreError> {
        let response = self
            .write(&StoreCodec::put_request(key, value, lease))
            .await?;
        into_result(StoreCodec::decode_put(&response))
    }

    /// Grants a lease and returns its ID.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        let response = self.write(&StoreCodec::grant_lease_request(ttl_ms)).await?;
        into_result(StoreCodec::decode_grant_lease(&response))
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Missing`] if the lease has expired.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let request = StoreCodec::renew_lease_request(lease);
        let response = self.read(&request, self.transport.call_timeout()).await?;
        into_result(StoreCodec::decode_renew_lease(&response))
    }

    async fn read(&self, request: &Request, limit: Duration) -> Result<Response, StoreError> {
        let counter = &self.transport.counters.reads;
        self.call(OperationKind::Read, counter, request, limit)
            .await
    }

    async fn write(&self, request: &Request) -> Result<Response, StoreError> {
        let counter = &self.transport.counters.writes;
        let limit = self.transport.call_timeout();
        self.call(OperationKind::Write, counter, request, limit)
            .await
    }

    async fn call(
        &self,
        kind: OperationKind,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, StoreError> {
        let result = self.transport.send(kind, counter, request, limit).await;
        result.map_err(StoreError::Unanswered)
    }
}

fn into_result<T>(reply: Result<StoreReply<T>, DecodeError>) -> Result<T, StoreError> {
    match reply {
        Ok(StoreReply::Done(value)) => Ok(value),
        Ok(StoreReply::Missing) => Err(StoreError::Missing),
        Ok(StoreReply::Conflict) => Err(StoreError::Conflict),
        Ok(StoreReply::Refused(reason)) => Err(StoreError::Refused(reason)),
        Err(error) => Err(StoreError::Unreadable(error.to_string())),
    }
}
