//! Watches on key prefixes.

use std::rc::Rc;

use derive_more::{Display, Error};
use monoio::time::timeout;
use web::LineStream;

use crate::client::{Entry, Platform};
use crate::counters::{PlatformCounters, increment};
use crate::error::PlatformError;
use crate::wire::{
    Base64Bytes, Event, EventType, StreamMessage, WatchCreate, WatchRequest, WatchResponse,
    prefix_end,
};

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was set.
    Put(Entry),
    /// The key was deleted, explicitly or because its lease ended.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// Changes that arrived in one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// The changes, in order; never empty.
    pub events: Vec<WatchEvent>,
    /// Revision of the store; a watch from the next revision continues without a gap.
    pub revision: u64,
}

/// Reason why a watch ended.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// The requested revisions were compacted; list the keys and watch from the listed revision.
    #[display("compacted up to revision {oldest_revision}")]
    Compacted {
        /// Oldest revision that is available.
        oldest_revision: u64,
    },
    /// The stream ended; a new watch can continue after the last revision.
    #[display("watch broken: {_0}")]
    Broken(#[error(not(source))] String),
}

/// Open watch; dropping it closes the watch.
pub struct Watch {
    stream: LineStream,
    counters: Rc<PlatformCounters>,
}

impl Platform {
    /// Watches all keys that begin with `prefix` for changes from `from_revision` on.
    ///
    /// Zero watches for future changes only. Returns once the service has confirmed the watch.
    ///
    /// # Errors
    ///
    /// Fails if no address confirms the watch in time.
    pub async fn watch(&self, prefix: &str, from_revision: u64) -> Result<Watch, PlatformError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: Base64Bytes::from(prefix),
                range_end: prefix_end(prefix.as_bytes()),
                start_revision: from_revision,
            },
        };
        let stream = self.transport.stream("/v3/watch", &request).await?;
        let counters = self.transport.counters.clone();
        increment(&counters.watches_open);
        let mut watch = Watch { stream, counters };
        let confirmation = timeout(self.transport.call_timeout(), watch.receive()).await;
        match confirmation {
            Ok(Ok(response)) if response.created => Ok(watch),
            Ok(Ok(_)) => Err(PlatformError::NotApplied("watch not confirmed".to_owned())),
            Ok(Err(error)) => Err(PlatformError::NotApplied(error.to_string())),
            Err(_) => Err(PlatformError::NotApplied("timeout".to_owned())),
        }
    }
}

impl Watch {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Fails if the watch has ended; open a new watch then.
    pub async fn next(&mut self) -> Result<WatchBatch, WatchError> {
        loop {
            let response = self.receive().await?;
            if response.compact_revision > 0 {
                let oldest_revision = response.compact_revision;
                return Err(WatchError::Compacted { oldest_revision });
            }
            if response.canceled {
                return Err(WatchError::Broken("cancelled by the service".to_owned()));
            }
            if !response.events.is_empty() {
                return Ok(WatchBatch::from(response));
            }
        }
    }

    async fn receive(&mut self) -> Result<WatchResponse, WatchError> {
        let line = match self.stream.next().await {
            Some(Ok(line)) => line,
            Some(Err(fault)) => return Err(WatchError::Broken(fault.to_string())),
            None => return Err(WatchError::Broken("ended by the service".to_owned())),
        };
        let parsed = serde_json::from_slice::<StreamMessage<WatchResponse>>(&line);
        parsed
            .map(|message| message.result)
            .map_err(|error| WatchError::Broken(error.to_string()))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let counter = &self.counters.watches_open;
        counter.set(counter.get() - 1);
    }
}

impl From<WatchResponse> for WatchBatch {
    fn from(response: WatchResponse) -> Self {
        Self {
            events: response.events.into_iter().map(WatchEvent::from).collect(),
            revision: response.header.revision,
        }
    }
}

impl From<Event> for WatchEvent {
    fn from(event: Event) -> Self {
        let entry = Entry::from(event.kv);
        match event.kind {
            EventType::Put => Self::Put(entry),
            EventType::Delete => Self::Deleted {
                key: entry.key,
                mod_revision: entry.versioned.mod_revision,
            },
        }
    }
}
