//! The entries that an agent announces itself to.

use std::collections::BTreeMap;

use model::{EntryInfo, ProcessKey};
use protocol::AnnounceReply;

/// Interval of announcements to owners of the agent's shards, in microseconds.
///
/// Owners send heartbeats as well; the announcement only repeats what seldom changes.
const OWNER_INTERVAL_US: u64 = 2_000_000;

/// Interval of announcements to other entries, in microseconds.
///
/// A configuration reaches an agent whose owner is stopped by these, so they must not be rare.
const NON_OWNER_INTERVAL_US: u64 = 3_000_000;

/// Interval of tries at an entry that does not answer, in microseconds.
const RETRY_INTERVAL_US: u64 = 500_000;

/// Failures in a row after which an entry that is not a seed is forgotten.
const MAX_CONSECUTIVE_FAILURES: u32 = 20;

#[derive(Debug, Default)]
struct KnownEntry {
    key: Option<ProcessKey>,
    is_seed: bool,
    is_owner: bool,
    consecutive_failures: u32,
    next_attempt_us: u64,
    /// Number of changes up to which the entry was told, or could not be reached.
    attempted_info_revision: u64,
}

/// The entries known to an agent, by address.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, KnownEntry>,
    /// Number of changes to what the agent announces.
    info_revision: u64,
}

impl Directory {
    /// Starts from the addresses in the settings.
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

    /// Returns the address of an entry by its incarnation.
    pub fn address(&self, key: ProcessKey) -> Option<String> {
        self.entries
            .iter()
            .find(|(_, known)| known.key == Some(key))
            .map(|(address, _)| address.clone())
    }

    /// Notes an entry by the address it gives in its messages.
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

    /// Returns the number of changes so far, for [`Self::answered`].
    pub fn info_revision(&self) -> u64 {
        self.info_revision
    }

    /// Makes announcements to all entries due at once, because what is announced has changed.
    pub fn announce_change(&mut self) {
        self.info_revision += 1;
        for known in self.entries.values_mut() {
            known.next_attempt_us = 0;
        }
    }

    /// Tells whether every entry was told the last change, as far as it can be reached.
    pub fn has_tried_all(&self) -> bool {
        let mut entries = self.entries.values();
        entries.all(|known| known.attempted_info_revision >= self.info_revision)
    }

    /// Returns the addresses to announce to now, and sets the time of the next try.
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

    /// Takes in an entry's reply to what was announced after `changes` changes.
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

    /// Notes that an entry did not answer an announcement made after `changes` changes.
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
