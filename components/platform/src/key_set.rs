//! The set of keys with a common prefix.

use std::collections::BTreeSet;

use adapter::WatchedChange;

use crate::store::{StoreClient, StoreError};

impl StoreClient {
    /// Follows the set of keys that begin with `prefix`; returns when a change may have been missed,
    /// and the keys should be listed again by another call.
    ///
    /// Calls `on_set` with the revision of the store and the set after each read, and `on_call` with
    /// the kind of each call and whether it succeeded.
    ///
    /// # Errors
    ///
    /// Fails if a call fails; with [`StoreError::Missing`] if the store has discarded the history that
    /// the watch needs.
    pub async fn follow_keys(
        &self,
        prefix: &str,
        watch_wait_ms: u64,
        mut on_call: impl FnMut(&'static str, bool),
        mut on_set: impl FnMut(u64, &BTreeSet<String>),
    ) -> Result<(), StoreError> {
        let listed = self.list(prefix, false).await;
        on_call("list", listed.is_ok());
        let list = listed?;
        let mut keys: BTreeSet<String> = list.items.into_iter().map(|item| item.key).collect();
        let mut revision = list.revision;
        on_set(revision, &keys);
        loop {
            let watched = self.watch(prefix, revision, watch_wait_ms).await;
            on_call("watch", watched.is_ok());
            let watch = watched?;
            // The store's revision advanced without an event: the watch may have missed a change.
            if watch.changes.is_empty() && watch.revision != revision {
                return Ok(());
            }
            for change in watch.changes {
                match change {
                    WatchedChange::Put(item) => keys.insert(item.key),
                    WatchedChange::Deleted { key } => keys.remove(&key),
                };
            }
            if watch.revision != revision {
                revision = watch.revision;
                on_set(revision, &keys);
            }
        }
    }
}
