//! The operators' configuration: follows the store and never goes back.

use std::rc::Rc;
use std::time::Duration;

use adapter::{CONFIGURATION_KEY, CallerLimits, StoreItem, WatchedChange};
use platform::StoreFault;
use scheduling::RouteTable;
use web::Bytes;

use crate::process::Shared;

/// How long a watch waits for a change, in milliseconds; with the call's time limit it ends well
/// within the two seconds in which a change has to be in force.
const WATCH_WAIT_MS: u64 = 700;

/// Pause after a failed call of the store, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// Pause before the configuration is read again where it cannot be watched, in milliseconds.
const REREAD_PAUSE_MS: u64 = 700;

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// Revision of the store that it came with.
    pub(crate) revision: u64,
    /// Version, by the operators' count.
    pub(crate) version: u64,
    /// The queues.
    pub(crate) routes: RouteTable,
    /// The operators' limits on callers.
    pub(crate) limits: CallerLimits,
    /// The configuration as published, for other entries.
    pub(crate) published: Bytes,
}

/// Follows the configuration.
pub(crate) async fn follow(shared: Rc<Shared>) {
    let mut is_lost = false;
    loop {
        let fault = match read_and_watch(&shared).await {
            Ok(()) => continue,
            Err(fault) => fault,
        };
        if !is_lost {
            log::warn!(target: "gateway", event = "store_lost", reason = fault.to_string();
                "the configuration cannot be followed");
        }
        is_lost = true;
        monoio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        if shared.store.get(CONFIGURATION_KEY, false).await.is_ok() {
            log::info!(target: "gateway", event = "store_regained"; "the store answers again");
            is_lost = false;
        }
    }
}

/// Reads the configuration, then waits for changes until one may have been missed.
async fn read_and_watch(shared: &Rc<Shared>) -> Result<(), StoreFault> {
    let read = shared.store.get(CONFIGURATION_KEY, false).await;
    shared
        .metrics
        .record_store_call("get", read.is_ok() || read == Err(StoreFault::Missing));
    let mut revision = match read {
        Ok(item) => {
            apply(shared, &item);
            item.revision
        }
        Err(StoreFault::Missing) => 0,
        Err(fault) => return Err(fault),
    };
    loop {
        let watched = shared
            .store
            .watch(CONFIGURATION_KEY, revision, WATCH_WAIT_MS)
            .await;
        shared.metrics.record_store_call("watch", watched.is_ok());
        let watch = match watched {
            Err(StoreFault::Missing) => {
                monoio::time::sleep(Duration::from_millis(REREAD_PAUSE_MS)).await;
                return Ok(());
            }
            watched => watched?,
        };
        for change in &watch.changes {
            if let WatchedChange::Put(item) = change
                && item.key == CONFIGURATION_KEY
            {
                apply(shared, item);
            }
        }
        // A store that moved on without telling of a change may have missed some.
        if watch.changes.is_empty() && watch.revision != revision {
            return Ok(());
        }
        revision = watch.revision;
    }
}

fn apply(shared: &Rc<Shared>, item: &StoreItem) {
    apply_published(shared, item.revision, &item.value, "store");
}

/// Puts a configuration into force if it is newer.
pub(crate) fn apply_published(shared: &Rc<Shared>, revision: u64, published: &Bytes, from: &str) {
    let current = shared
        .active_configuration
        .borrow()
        .as_ref()
        .map_or(0, |config| config.revision);
    if revision <= current {
        return;
    }
    let decoded = match adapter::decode_configuration(published) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::error!(target: "gateway", event = "bad_configuration", revision = revision,
                reason = error.to_string(); "the configuration cannot be read and is not used");
            return;
        }
    };
    log::info!(target: "gateway", event = "configuration", version = decoded.version,
        revision = revision, routes = decoded.routes.len(), source = from;
        "a configuration is in force");
    *shared.active_configuration.borrow_mut() = Some(Rc::new(ActiveConfiguration {
        revision,
        version: decoded.version,
        routes: RouteTable::new(decoded.routes),
        limits: decoded.limits,
        published: published.clone(),
    }));
    shared.refresh_limits();
}
