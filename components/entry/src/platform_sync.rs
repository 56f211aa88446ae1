//! Keeps up with the platform: one watch for everything, one lease for the registration.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::CONFIG_KEY;
use model::{EntryInfo, FirmKey, ProcessKey};
use platform::{Entry, PlatformError, Swap, Versioned, Watch, WatchEvent};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::monotonic_us;

use crate::drive::SHARD_PREFIX;
use crate::process::Shared;

/// Prefix of all keys of the system in the platform.
const ROOT_PREFIX: &str = "/shallotcross/";

/// Prefix of the keys of entries.
const ENTRY_PREFIX: &str = "/shallotcross/entries/";

/// Life of the registration, in milliseconds.
///
/// Only discovery rests on it: entries watch each other directly.
const LEASE_MS: u64 = 15_000;

/// Time within which an entry without a registration must have answered to be kept, in
/// microseconds.
///
/// Longer than the silence that makes another entry take its shards over.
const ANSWERS_US: u64 = 5_000_000;

/// Pause before the platform is tried again, in milliseconds; a random part comes on top, so
/// that entries do not all come back at once.
const RETRY_MS: u64 = 250;

/// Follows all keys of the system; never returns.
pub async fn watch(shared: Rc<Shared>) {
    loop {
        if let Err(error) = follow(&shared).await {
            log::warn!("The platform cannot be followed: {error}.");
        }
        pause().await;
    }
}

async fn pause() {
    let extra_ms = random_ms(RETRY_MS);
    monoio::time::sleep(Duration::from_millis(RETRY_MS + extra_ms)).await;
}

/// Draws a time below `below_ms`, in milliseconds.
fn random_ms(below_ms: u64) -> u64 {
    SmallRng::from_os_rng().random_range(0..below_ms)
}

async fn follow(shared: &Rc<Shared>) -> Result<(), PlatformError> {
    let listing = shared.platform.list(ROOT_PREFIX).await?;
    shared.platform_reached();
    let listed: Vec<&Entry> = listing.entries.iter().collect();
    shared.forget_unlisted(&listed);
    for entry in listed {
        shared.key_read(&entry.key, &entry.versioned);
    }
    shared.core.borrow_mut().records_synced();
    shared.wake();
    let watch = shared
        .platform
        .watch(ROOT_PREFIX, listing.revision + 1)
        .await?;
    shared.follow_watch(watch).await;
    Ok(())
}

impl Shared {
    async fn follow_watch(self: &Rc<Self>, mut watch: Watch) {
        loop {
            match watch.next().await {
                Ok(batch) => {
                    self.platform_reached();
                    for event in &batch.events {
                        self.key_changed(event);
                    }
                }
                Err(error) => {
                    log::warn!("The watch ended: {error}.");
                    return;
                }
            }
        }
    }

    fn key_changed(self: &Rc<Self>, event: &WatchEvent) {
        match event {
            WatchEvent::Put(entry) => self.key_read(&entry.key, &entry.versioned),
            WatchEvent::Deleted { key, .. } => {
                if key.starts_with(ENTRY_PREFIX) {
                    self.forget_entries(|process| entry_path(process) == *key);
                }
            }
        }
    }

    fn key_read(self: &Rc<Self>, key: &str, versioned: &Versioned) {
        if key == CONFIG_KEY {
            self.config_read(versioned);
        } else if key.starts_with(SHARD_PREFIX) {
            self.record_read(versioned);
        } else if key.starts_with(ENTRY_PREFIX) {
            self.entry_read(versioned);
        }
    }

    fn entry_read(&self, versioned: &Versioned) {
        let info: EntryInfo = match serde_json::from_slice(&versioned.value) {
            Ok(info) => info,
            Err(error) => {
                log::warn!("An entry's registration cannot be read: {error}.");
                return;
            }
        };
        self.entry_known(info);
    }

    /// Notes another entry if it serves a firm that this one serves too.
    ///
    /// Other entries can neither take over a shard from this one nor hand one to it.
    pub fn entry_known(&self, info: EntryInfo) {
        if info.key != self.me.key && shares_firm(&info.firms, &self.me.firms) {
            self.known_entries.borrow_mut().insert(info.key, info);
        }
    }

    fn forget_unlisted(&self, listed: &[&Entry]) {
        self.forget_entries(|process| {
            let key = entry_path(process);
            listed.iter().all(|entry| entry.key != key)
        });
    }

    /// Forgets entries whose registrations are gone, except for those that still answer.
    ///
    /// All leases lapse in an outage of the platform, which is not the end of the entries.
    fn forget_entries(&self, is_unregistered: impl Fn(ProcessKey) -> bool) {
        let core = self.core.borrow();
        let now_us = monotonic_us();
        self.known_entries.borrow_mut().retain(|process, _| {
            !is_unregistered(*process) || core.has_heard(*process, ANSWERS_US, now_us)
        });
    }
}

fn entry_path(process: ProcessKey) -> String {
    format!("{ENTRY_PREFIX}{process}")
}

/// Tells whether two lists of firms have one in common; an empty list means all firms.
pub fn shares_firm(one: &[FirmKey], other: &[FirmKey]) -> bool {
    one.is_empty() || other.is_empty() || one.iter().any(|firm| other.contains(firm))
}

/// Keeps this entry registered; never returns.
pub async fn register(shared: Rc<Shared>) {
    loop {
        match keep_registered(&shared).await {
            Ok(()) => {}
            Err(error) => log::warn!("The registration was lost: {error}."),
        }
        pause().await;
    }
}

async fn keep_registered(shared: &Rc<Shared>) -> Result<(), PlatformError> {
    let lease = shared.platform.lease_grant(LEASE_MS).await?;
    shared.platform_reached();
    let key = entry_path(shared.me.key);
    let value = serde_json::to_vec(&shared.me)
        .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
    put(shared, &key, Bytes::from(value), lease).await?;
    loop {
        let wait_ms = LEASE_MS / 3 + random_ms(LEASE_MS / 12);
        monoio::time::sleep(Duration::from_millis(wait_ms)).await;
        shared.platform.keep_alive(lease).await?;
        shared.platform_reached();
    }
}

async fn put(
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
