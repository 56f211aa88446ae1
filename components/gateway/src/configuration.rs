//! Follows the operators' configuration in the store; an older revision never replaces a newer one.

use std::rc::Rc;
use std::time::Duration;

use adapter::{CONFIGURATION_KEY, CallerLimits, StoreItem, WatchedChange};
use peers::StorePart;
use platform::StoreError;
use runtime::{Backoff, RepeatedLines, pause_after_failure, uptime_ms};
use scheduling::RouteTable;
use web::Bytes;

use crate::bootstrap;
use crate::directory::is_answered;
use crate::process::Shared;

/// How long a watch waits for a change, in milliseconds.
///
/// This and the timeout of the call together must stay well below the two seconds within which a
/// change has to take effect.
const WATCH_WAIT_MS: u64 = 700;

/// Pause after a failed call to the store, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// Shortest time between two reads of the configuration while the store has compacted the history
/// that the watch needs, in milliseconds.
const READ_INTERVAL_MS: u64 = 700;

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// Revision of the store that wrote it.
    pub(crate) revision: u64,
    /// Version number that the operators gave it.
    pub(crate) version: u64,
    /// The queues.
    pub(crate) routes: RouteTable,
    /// The operators' limits on callers.
    pub(crate) limits: CallerLimits,
    /// The configuration as read from the store, passed on to other entries at bootstrap.
    pub(crate) published: Bytes,
}

/// A failed read of the configuration.
struct ReadFailure {
    /// Kind of the call.
    call: &'static str,
    took_ms: u64,
    error: StoreError,
}

impl ReadFailure {
    fn new(call: &'static str, called_at_ms: u64, error: StoreError) -> Self {
        Self {
            call,
            took_ms: uptime_ms().saturating_sub(called_at_ms),
            error,
        }
    }
}

/// Applies each change of the configuration; never returns.
pub(crate) async fn follow(shared: Rc<Shared>) {
    let mut failures = RepeatedLines::default();
    let mut is_store_lost = false;
    let mut next_read_at_ms = 0;
    let mut known_revision = None;
    let mut backoff = Backoff::builder(RETRY_PAUSE_MS, RETRY_PAUSE_MS)
        .seed(shared.key.0)
        .build();
    loop {
        let result = match known_revision {
            Some(revision) => watch(&shared, revision).await,
            None => {
                let pause_ms = u64::saturating_sub(next_read_at_ms, uptime_ms());
                monoio::time::sleep(Duration::from_millis(pause_ms)).await;
                next_read_at_ms = uptime_ms() + READ_INTERVAL_MS;
                read(&shared).await
            }
        };
        match result {
            Ok(newest) => {
                known_revision = newest;
                backoff.record_success();
                if std::mem::take(&mut is_store_lost) {
                    log::info!(target: "gateway", event = "store_regained";
                        "the store answers again");
                }
            }
            Err(failure) => {
                is_store_lost = true;
                if let Some(count) = failures.record(uptime_ms(), failure.call) {
                    log::warn!(target: "gateway", event = "configuration_unavailable",
                        call = failure.call, took_ms = failure.took_ms,
                        reason = failure.error.to_string(), count = count;
                        "configuration cannot be read from the store; the last one stays in force");
                }
                pause_after_failure(&mut backoff).await;
            }
        }
    }
}

/// Reads the configuration and applies it; returns the revision up to which all changes are known.
async fn read(shared: &Rc<Shared>) -> Result<Option<u64>, ReadFailure> {
    let called_at_ms = uptime_ms();
    let read = shared.store.get(CONFIGURATION_KEY, false).await;
    let is_answered = is_answered(&read);
    shared.metrics.record_store_call("get", is_answered);
    bootstrap::record_store_read(shared, StorePart::Configuration, is_answered);
    let revision = match read {
        Ok(read) => {
            apply(shared, &read.item);
            read.revision
        }
        Err(StoreError::Missing) => 0,
        Err(error) => return Err(ReadFailure::new("get", called_at_ms, error)),
    };
    record_confirmation(shared);
    Ok(Some(revision))
}

/// Waits for changes after a revision and applies them; returns the revision up to which all changes
/// are known, `None` if the configuration must be read again.
async fn watch(shared: &Rc<Shared>, revision: u64) -> Result<Option<u64>, ReadFailure> {
    let called_at_ms = uptime_ms();
    let watched = shared
        .store
        .watch(CONFIGURATION_KEY, revision, WATCH_WAIT_MS)
        .await;
    shared.metrics.record_store_call("watch", watched.is_ok());
    bootstrap::record_store_read(shared, StorePart::Configuration, is_answered(&watched));
    let watch = match watched {
        Ok(watch) => watch,
        Err(StoreError::Missing) => return Ok(None),
        Err(error) => return Err(ReadFailure::new("watch", called_at_ms, error)),
    };
    record_confirmation(shared);
    for change in &watch.changes {
        if let WatchedChange::Put(item) = change
            && item.key == CONFIGURATION_KEY
        {
            apply(shared, item);
        }
    }
    if let Some(error) = watch.unreadable.first() {
        let error = StoreError::Unreadable(error.to_string());
        return Err(ReadFailure::new("watch", called_at_ms, error));
    }
    // The revision of the answer may include changes that the watch has missed; a watch from the last
    // change reports them as long as the history contains them.
    let newest = watch.changes.iter().map(WatchedChange::revision).max();
    match newest {
        None => Ok(Some(revision)),
        // The next watch would return the same changes at once.
        Some(newest) if newest <= revision => Ok(None),
        Some(newest) => Ok(Some(newest)),
    }
}

/// Records that the active configuration is the one that the store has.
fn record_confirmation(shared: &Shared) {
    shared.configuration_confirmed_at_ms.set(uptime_ms());
}

fn apply(shared: &Rc<Shared>, item: &StoreItem) {
    apply_published(shared, item.revision, &item.value, "store");
}

/// Applies a configuration if its revision is newer than that of the active one.
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
                reason = error.to_string();
                "configuration is malformed and is ignored; the last one stays in force");
            return;
        }
    };
    log::info!(target: "gateway", event = "configuration", version = decoded.version,
        revision = revision, routes = decoded.routes.len(), source = from;
        "new configuration is in force");
    *shared.active_configuration.borrow_mut() = Some(Rc::new(ActiveConfiguration {
        revision,
        version: decoded.version,
        routes: RouteTable::new(decoded.routes),
        limits: decoded.limits,
        published: published.clone(),
    }));
    shared.download.borrow_mut().discard_up_to(revision);
    shared.refresh_limits();
    shared.configuration_changed.notify_all();
}
