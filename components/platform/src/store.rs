//! The store of the users' platform.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{DecodeError, StoreCodec, StoreItem, StoreList, StoreReply, StoreWatch};
use derive_more::{Display, Error};
use web::{Request, Response};

use crate::counters::PlatformCounters;
use crate::error::PlatformError;
use crate::transport::{Effect, Transport};

/// Keys of one listing at most; a directory of hosts is far smaller.
const MAX_LISTED: usize = 20_000;

/// Client of the store; clones share connections and counters.
#[derive(Clone)]
pub struct Store {
    transport: Rc<Transport>,
}

/// Why a call of the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreFault {
    /// No answer came, or the call could not be sent.
    #[display("{_0}")]
    Unanswered(PlatformError),
    /// The store refused the call.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The key, the lease or the history is gone.
    #[display("missing")]
    Missing,
    /// A condition did not hold.
    #[display("condition not met")]
    Conflict,
    /// The answer cannot be read.
    #[display("unreadable answer: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl Store {
    /// Creates a client of the store at `address`; a call may take `call_timeout_ms`.
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

    /// Reads a key; a stale read is cheap and may be seconds old.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreFault::Missing`] if there is no such key.
    pub async fn get(&self, key: &str, is_stale_allowed: bool) -> Result<StoreItem, StoreFault> {
        let request = StoreCodec::get(key, is_stale_allowed);
        let response = self.read(&request, self.transport.call_timeout()).await?;
        settle(StoreCodec::decode_item(&response))
    }

    /// Lists the keys that begin with `prefix`; also returns the revision to watch from.
    ///
    /// # Errors
    ///
    /// Fails if a page does not come.
    pub async fn list(
        &self,
        prefix: &str,
        is_stale_allowed: bool,
    ) -> Result<StoreList, StoreFault> {
        let mut all: Vec<StoreItem> = Vec::new();
        let mut revision = None;
        loop {
            let after = all.last().map_or("", |item| item.key.as_str());
            let request = StoreCodec::list(prefix, after, is_stale_allowed);
            let response = self.read(&request, self.transport.call_timeout()).await?;
            let page = settle(StoreCodec::decode_page(&response))?;
            // Changes during the listing come again with a watch from the first page's revision.
            let revision = *revision.get_or_insert(page.revision);
            let is_last = !page.has_more || page.items.is_empty() || all.len() >= MAX_LISTED;
            all.extend(page.items);
            if is_last {
                return Ok(StoreList {
                    items: all,
                    has_more: false,
                    revision,
                });
            }
        }
    }

    /// Waits for changes of the keys that begin with `prefix` behind a revision.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreFault::Missing`] if that history is gone.
    pub async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait_ms: u64,
    ) -> Result<StoreWatch, StoreFault> {
        let request = StoreCodec::watch(prefix, after_revision, wait_ms);
        let limit = Duration::from_millis(wait_ms) + self.transport.call_timeout();
        let response = self.read(&request, limit).await?;
        settle(StoreCodec::decode_watch(&response))
    }

    /// Writes a key, whatever it held.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreFault::Missing`] if there is no such lease; a write without an answer
    /// may have taken effect.
    pub async fn put(&self, key: &str, value: &[u8], lease: u64) -> Result<u64, StoreFault> {
        let response = self.write(&StoreCodec::put(key, value, lease)).await?;
        settle(StoreCodec::decode_put(&response))
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreFault> {
        let response = self.write(&StoreCodec::grant_lease(ttl_ms)).await?;
        settle(StoreCodec::decode_lease(&response))
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreFault::Missing`] if the lease has ended.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreFault> {
        let request = StoreCodec::renew_lease(lease);
        let response = self.read(&request, self.transport.call_timeout()).await?;
        settle(StoreCodec::decode_keep_alive(&response))
    }

    async fn read(&self, request: &Request, limit: Duration) -> Result<Response, StoreFault> {
        let counter = &self.transport.counters.reads;
        self.call(Effect::Read, counter, request, limit).await
    }

    async fn write(&self, request: &Request) -> Result<Response, StoreFault> {
        let counter = &self.transport.counters.writes;
        let limit = self.transport.call_timeout();
        self.call(Effect::Write, counter, request, limit).await
    }

    async fn call(
        &self,
        effect: Effect,
        counter: &Cell<u64>,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, StoreFault> {
        let result = self.transport.send(effect, counter, request, limit).await;
        result.map_err(StoreFault::Unanswered)
    }
}

fn settle<T>(reply: Result<StoreReply<T>, DecodeError>) -> Result<T, StoreFault> {
    match reply {
        Ok(StoreReply::Done(value)) => Ok(value),
        Ok(StoreReply::Missing) => Err(StoreFault::Missing),
        Ok(StoreReply::Conflict) => Err(StoreFault::Conflict),
        Ok(StoreReply::Refused(why)) => Err(StoreFault::Refused(why)),
        Err(error) => Err(StoreFault::Unreadable(error.to_string())),
    }
}
