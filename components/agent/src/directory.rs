//! Directory of the entries that the agent announces itself to.

use std::collections::BTreeMap;

use model::{EntryInfo, ProcessKey};
use protocol::AnnounceReply;

/// Interval of announcements to owners of shards of the target's firms, in microseconds.
///
/// Owners also send heartbeats; the announcement only repeats information that rarely changes.
const OWNER_INTERVAL_US: u64 = 2_000_000;

/// Interval of announcements to entries that own none of these shards, in microseconds.
///
/// A new configuration reaches an agent whose owner is stopped through the replies to these, so
/// the interval must be short.
const NON_OWNER_INTERVAL_US: u64 = 3_000_000;

/// Interval of retries at an entry that does not answer, in microseconds.
const RETRY_INTERVAL_US: u64 = 500_000;

/// Number of consecutive failures after which an entry that is not a seed is removed.
const MAX_CONSECUTIVE_FAILURES: u32 = 20;

#[derive(Debug, Default)]
struct KnownEntry {
    key: Option<ProcessKey>,
    is_seed: bool,
    is_owner: bool,
    consecutive_failures: u32,
    next_attempt_us: u64,
    /// Latest revision of the agent's information that was announced, successfully or not.
    attempted_info_revision: u64,
}

/// The known entries, by address.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, KnownEntry>,
    /// Revision of the information that the agent announces; incremented on each change.
    info_revision: u64,
}

impl Directory {
    /// Creates a directory of the seed addresses from the settings.
    pub fn new(seeds: impl Iterator<Item = String>) -> Self {
        let entries = seeds
            .map(|address| {
                let known = KnownEntry {
                    is_seed: true,
                    ..KnownEntry::default()
                };
                (address, known)
            })
            .collect();
        Self {
            entries,
            info_revision: 0,
        }
    }

    /// Returns the address of an entry by its process key.
    pub fn address(&self, key: ProcessKey) -> Option<String> {
        self.entries
            .iter()
            .find(|(_, known)| known.key == Some(key))
            .map(|(address, _)| address.clone())
    }

    /// Records the address of an entry.
    pub fn record_address(&mut self, key: ProcessKey, address: &str) {
        if let Some(known) = self.entries.get_mut(address) {
            known.key = Some(key);
            return;
        }
        let known = KnownEntry {
            key: Some(key),
            ..KnownEntry::default()
        };
        self.entries.insert(address.to_owned(), known);
    }

    /// Returns the revision of the announced information, for [`Self::record_success`] and
    /// [`Self::record_failure`].
    pub fn info_revision(&self) -> u64 {
        self.info_revision
    }

    /// Makes announcements to all entries due at once, after a change of the announced information.
    pub fn announce_change(&mut self) {
        self.info_revision += 1;
        for known in self.entries.values_mut() {
            known.next_attempt_us = 0;
        }
    }

    /// Returns whether the last change was announced to every entry, successfully or not.
    pub fn has_tried_all(&self) -> bool {
        let mut entries = self.entries.values();
        entries.all(|known| known.attempted_info_revision >= self.info_revision)
    }

    /// Returns the addresses whose announcements are due, and schedules their next attempt.
    pub fn take_due(&mut self, now_us: u64) -> Vec<String> {
        let mut due = Vec::new();
        for (address, known) in &mut self.entries {
            if known.next_attempt_us <= now_us {
                known.next_attempt_us = now_us + RETRY_INTERVAL_US;
                due.push(address.clone());
            }
        }
        due
    }

    /// Records an entry's reply to an announcement of revision `info_revision`.
    pub fn record_success(
        &mut self,
        address: &str,
        reply: &AnnounceReply,
        info_revision: u64,
        now_us: u64,
    ) {
        for entry in &reply.entries {
            self.record_info(entry);
        }
        for known in self.entries.values_mut() {
            let owns = |owner: &protocol::ShardOwner| known.key == Some(owner.owner);
            known.is_owner = reply.owners.iter().any(owns);
        }
        self.record_address(reply.entry.key, address);
        let is_outdated = info_revision != self.info_revision;
        if let Some(known) = self.entries.get_mut(address) {
            known.consecutive_failures = 0;
            known.attempted_info_revision = info_revision;
            if is_outdated {
                known.next_attempt_us = now_us;
                return;
            }
            known.next_attempt_us = now_us
                + if known.is_owner {
                    OWNER_INTERVAL_US
                } else {
                    NON_OWNER_INTERVAL_US
                };
        }
    }

    fn record_info(&mut self, entry: &EntryInfo) {
        self.record_address(entry.key, &entry.address);
    }

    /// Records that an entry did not answer an announcement of revision `info_revision`.
    pub fn record_failure(&mut self, address: &str, info_revision: u64) {
        let Some(known) = self.entries.get_mut(address) else {
            return;
        };
        known.attempted_info_revision = info_revision;
        known.consecutive_failures += 1;
        if known.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && !known.is_seed {
            self.entries.remove(address);
        }
    }
}
