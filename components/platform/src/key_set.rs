//! The set of keys with a common prefix.

use std::collections::BTreeSet;

use adapter::{StoreList, WatchedChange};

use crate::store::{StoreClient, StoreError};

impl StoreClient {
    /// Follows the set of keys that begin with `prefix`; returns when a change may have been missed,
    /// and the keys should be listed again by another call, after a pause.
    ///
    /// Calls `on_set` with the revision of the store and the set after each change, and `on_call` with
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
        let (mut revision, mut keys) = revision_and_keys(whole(listed?)?);
        on_set(revision, &keys);
        loop {
            let watched = self.watch(prefix, revision, watch_wait_ms).await;
            on_call("watch", watched.is_ok());
            let watch = watched?;
            if watch.changes.is_empty() && watch.revision == revision {
                continue;
            }
            // The store's revision advanced without an event: the watch may have missed a change.
            if watch.changes.is_empty() {
                return Ok(());
            }
            // The answer may lack one of several events. The set is listed before it is reported,
            // since a later listing of the same revision would not replace the faulty set.
            let listed = self.list(prefix, false).await.and_then(whole);
            on_call("list", listed.is_ok());
            let error = match listed {
                Ok(list) if list.revision >= watch.revision => {
                    let previous_revision = revision;
                    (revision, keys) = revision_and_keys(list);
                    if revision > previous_revision {
                        on_set(revision, &keys);
                    }
                    // Without an advance, the next watch could return the same events at once.
                    if watch.revision <= previous_revision {
                        return Ok(());
                    }
                    continue;
                }
                listed => listed.err(),
            };
            // Without a listing, the events are the best information on the change.
            apply(watch.changes, &mut keys);
            if watch.revision > revision {
                on_set(watch.revision, &keys);
            }
            return error.map_or(Ok(()), Err);
        }
    }
}

/// Refuses a listing of which items are left out: the set would lack their keys.
fn whole(list: StoreList) -> Result<StoreList, StoreError> {
    match list.unreadable.first() {
        None => Ok(list),
        Some(error) => Err(StoreError::Unreadable(error.to_string())),
    }
}

fn revision_and_keys(list: StoreList) -> (u64, BTreeSet<String>) {
    let keys = list.items.into_iter().map(|item| item.key).collect();
    (list.revision, keys)
}

fn apply(changes: Vec<WatchedChange>, keys: &mut BTreeSet<String>) {
    for change in changes {
        match change {
            WatchedChange::Put(item) => keys.insert(item.key),
            WatchedChange::Deleted { key, .. } => keys.remove(&key),
        };
    }
}
