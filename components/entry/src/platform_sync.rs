//! Synchronisation with the platform: one watch on all keys, and a leased registration of this
//! entry.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::CONFIG_KEY;
use model::{EntryInfo, FirmKey, ProcessKey};
use platform::{Entry, PlatformError, Swap, Versioned, Watch, WatchEvent};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::monotonic_us;

use crate::event_loop::SHARD_PREFIX;
use crate::process::Shared;

/// Prefix of all keys of shallotcross in the platform.
const ROOT_PREFIX: &str = "/shallotcross/";

/// Key prefix of the registrations of entries.
const ENTRY_PREFIX: &str = "/shallotcross/entries/";

/// Lease TTL of the registration, in milliseconds.
///
/// The registration serves discovery only; entries check each other's liveness with pings.
const LEASE_TTL_MS: u64 = 15_000;

/// Maximum time since the last ping answer for which an unregistered entry is kept, in
/// microseconds.
///
/// Longer than the silence after which another entry takes over its shards.
const LIVENESS_WINDOW_US: u64 = 5_000_000;

/// Base delay before a retry at the platform, in milliseconds.
///
/// Random jitter of up to the same length is added, so that entries do not all reconnect at once.
const RETRY_DELAY_MS: u64 = 250;

/// Reads all keys from the platform, then watches them for changes; never returns.
pub async fn watch(shared: Rc<Shared>) {
    loop {
        if let Err(error) = sync_and_watch(&shared).await {
            log::warn!("The platform cannot be followed: {error}.");
        }
        wait_before_retry().await;
    }
}

async fn wait_before_retry() {
    let jitter_ms = random_delay_ms(RETRY_DELAY_MS);
    monoio::time::sleep(Duration::from_millis(RETRY_DELAY_MS + jitter_ms)).await;
}

/// Returns a random delay below `below_ms`, in milliseconds.
fn random_delay_ms(below_ms: u64) -> u64 {
    SmallRng::from_os_rng().random_range(0..below_ms)
}

async fn sync_and_watch(shared: &Rc<Shared>) -> Result<(), PlatformError> {
    let listing = shared.platform.list(ROOT_PREFIX).await?;
    shared.note_platform_response();
    let listed: Vec<&Entry> = listing.entries.iter().collect();
    shared.remove_unlisted_entries(&listed);
    for entry in listed {
        shared.apply_value(&entry.key, &entry.versioned);
    }
    shared.dispatcher.borrow_mut().mark_records_synced();
    shared.wake();
    let watch = shared
        .platform
        .watch(ROOT_PREFIX, listing.revision + 1)
        .await?;
    shared.process_watch_events(watch).await;
    Ok(())
}

impl Shared {
    async fn process_watch_events(self: &Rc<Self>, mut watch: Watch) {
        loop {
            match watch.next().await {
                Ok(batch) => {
                    self.note_platform_response();
                    for event in &batch.events {
                        self.apply_watch_event(event);
                    }
                }
                Err(error) => {
                    log::warn!("The watch ended: {error}.");
                    return;
                }
            }
        }
    }

    fn apply_watch_event(self: &Rc<Self>, event: &WatchEvent) {
        match event {
            WatchEvent::Put(entry) => self.apply_value(&entry.key, &entry.versioned),
            WatchEvent::Deleted { key, .. } => {
                if key.starts_with(ENTRY_PREFIX) {
                    self.remove_entries(|process| entry_path(process) == *key);
                }
            }
        }
    }

    fn apply_value(self: &Rc<Self>, key: &str, versioned: &Versioned) {
        if key == CONFIG_KEY {
            self.apply_published_config(versioned);
        } else if key.starts_with(SHARD_PREFIX) {
            self.apply_shard_record(versioned);
        } else if key.starts_with(ENTRY_PREFIX) {
            self.apply_registration(versioned);
        }
    }

    fn apply_registration(&self, versioned: &Versioned) {
        let info: EntryInfo = match serde_json::from_slice(&versioned.value) {
            Ok(info) => info,
            Err(error) => {
                log::warn!("An entry's registration cannot be read: {error}.");
                return;
            }
        };
        self.add_known_entry(info);
    }

    /// Adds another entry to the known ones if both serve a common firm.
    ///
    /// Entries without a common firm never take over shards from each other or hand them over.
    pub fn add_known_entry(&self, info: EntryInfo) {
        if info.key != self.own_info.key && has_common_firm(&info.firms, &self.own_info.firms) {
            self.known_entries.borrow_mut().insert(info.key, info);
        }
    }

    fn remove_unlisted_entries(&self, listed: &[&Entry]) {
        self.remove_entries(|process| {
            let key = entry_path(process);
            listed.iter().all(|entry| entry.key != key)
        });
    }

    /// Removes entries whose registrations are gone, except for those that still answer pings.
    ///
    /// All leases expire in an outage of the platform while the entries keep running.
    fn remove_entries(&self, is_unregistered: impl Fn(ProcessKey) -> bool) {
        let dispatcher = self.dispatcher.borrow();
        let now_us = monotonic_us();
        self.known_entries.borrow_mut().retain(|process, _| {
            !is_unregistered(*process)
                || dispatcher.has_recent_response(*process, LIVENESS_WINDOW_US, now_us)
        });
    }
}

fn entry_path(process: ProcessKey) -> String {
    format!("{ENTRY_PREFIX}{process}")
}

/// Returns whether two lists of firms have a common firm; an empty list means all firms.
pub fn has_common_firm(one: &[FirmKey], other: &[FirmKey]) -> bool {
    one.is_empty() || other.is_empty() || one.iter().any(|firm| other.contains(firm))
}

/// Registers this entry and renews its lease; never returns.
pub async fn register(shared: Rc<Shared>) {
    loop {
        match keep_registered(&shared).await {
            Ok(()) => {}
            Err(error) => log::warn!("The registration was lost: {error}."),
        }
        wait_before_retry().await;
    }
}

async fn keep_registered(shared: &Rc<Shared>) -> Result<(), PlatformError> {
    let lease = shared.platform.lease_grant(LEASE_TTL_MS).await?;
    shared.note_platform_response();
    let key = entry_path(shared.own_info.key);
    let value = serde_json::to_vec(&shared.own_info)
        .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    put_registration(shared, &key, Bytes::from(value), lease).await?;
    loop {
        let wait_ms = LEASE_TTL_MS / 3 + random_delay_ms(LEASE_TTL_MS / 12);
        monoio::time::sleep(Duration::from_millis(wait_ms)).await;
        shared.platform.keep_alive(lease).await?;
        shared.note_platform_response();
    }
}

async fn put_registration(
    shared: &Rc<Shared>,
    key: &str,
    value: Bytes,
    lease: u64,
) -> Result<(), PlatformError> {
    let mut expected_revision = 0;
    loop {
        let swap = shared
            .platform
            .compare_and_swap(key, expected_revision, value.clone(), Some(lease))
            .await?;
        match swap {
            Swap::Done { .. } => return Ok(()),
            Swap::Conflict { current } => {
                expected_revision = current.map_or(0, |current| current.mod_revision);
            }
        }
    }
}
