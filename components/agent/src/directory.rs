//! The entries that an agent announces itself to.

use std::collections::BTreeMap;

use model::{EntryInfo, ProcessKey};
use protocol::AnnounceReply;

/// Interval of announcements to owners of the agent's shards, in microseconds.
///
/// Owners send heartbeats as well; the announcement only repeats what seldom changes.
const OWNER_INTERVAL_US: u64 = 2_000_000;

/// Interval of announcements to other entries, in microseconds.
const OTHER_INTERVAL_US: u64 = 5_000_000;

/// Interval of tries at an entry that does not answer, in microseconds.
const RETRY_INTERVAL_US: u64 = 500_000;

/// Failures in a row after which an entry that is not a seed is forgotten.
const MAX_FAILURES: u32 = 20;

#[derive(Debug, Default)]
struct Known {
    key: Option<ProcessKey>,
    is_seed: bool,
    is_owner: bool,
    failures: u32,
    due_us: u64,
}

/// The entries known to an agent, by address.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<String, Known>,
    /// Number of changes to what the agent announces.
    changes: u64,
}

impl Directory {
    /// Starts from the addresses in the settings.
    pub fn new(seeds: impl Iterator<Item = String>) -> Self {
        let entries = seeds
            .map(|address| {
                let known = Known {
                    is_seed: true,
                    ..Known::default()
                };
                (address, known)
            })
            .collect();
        Self {
            entries,
            changes: 0,
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
    pub fn note(&mut self, key: ProcessKey, address: &str) {
        if let Some(known) = self.entries.get_mut(address) {
            known.key = Some(key);
            return;
        }
        let known = Known {
            key: Some(key),
            ..Known::default()
        };
        self.entries.insert(address.to_owned(), known);
    }

    /// Returns the number of changes so far, for [`Self::answered`].
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Makes announcements to all entries due at once, because what is announced has changed.
    pub fn hasten(&mut self) {
        self.changes += 1;
        for known in self.entries.values_mut() {
            known.due_us = 0;
        }
    }

    /// Returns the addresses to announce to now, and sets the time of the next try.
    pub fn take_due(&mut self, now_us: u64) -> Vec<String> {
        let mut due = Vec::new();
        for (address, known) in &mut self.entries {
            if known.due_us <= now_us {
                known.due_us = now_us + RETRY_INTERVAL_US;
                due.push(address.clone());
            }
        }
        due
    }

    /// Takes in an entry's reply to what was announced after `changes` changes.
    pub fn answered(&mut self, address: &str, reply: &AnnounceReply, changes: u64, now_us: u64) {
        for entry in &reply.entries {
            self.learn(entry);
        }
        for known in self.entries.values_mut() {
            let owns = |owner: &protocol::ShardOwner| known.key == Some(owner.owner);
            known.is_owner = reply.owners.iter().any(owns);
        }
        self.note(reply.entry.key, address);
        let is_outdated = changes != self.changes;
        if let Some(known) = self.entries.get_mut(address) {
            known.failures = 0;
            if is_outdated {
                known.due_us = now_us;
                return;
            }
            known.due_us = now_us
                + if known.is_owner {
                    OWNER_INTERVAL_US
                } else {
                    OTHER_INTERVAL_US
                };
        }
    }

    fn learn(&mut self, entry: &EntryInfo) {
        self.note(entry.key, &entry.address);
    }

    /// Notes that an entry did not answer.
    pub fn failed(&mut self, address: &str) {
        let Some(known) = self.entries.get_mut(address) else {
            return;
        };
        known.failures += 1;
        if known.failures >= MAX_FAILURES && !known.is_seed {
            self.entries.remove(address);
        }
    }
}
