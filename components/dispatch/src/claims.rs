//! Which entry should own a shard, and when another entry takes it over.

use std::collections::BTreeMap;

use model::{EntryInfo, FirmKey, Generation, Member, ProcessKey, ShardKey, ShardRecord, mix64};

/// Silence after which an owner is replaced if its host refuses connections, in microseconds.
///
/// Two ping intervals suffice, since a refused connection proves that the process is gone.
const REFUSED_SILENCE_US: u64 = 500_000;

/// Silence after which an owner is replaced, in microseconds.
///
/// Avoids takeovers because of short pauses; safety does not depend on it.
const SILENCE_US: u64 = 2_000_000;

/// Silence after which another entry is no longer a candidate owner, in microseconds.
const PEER_LIVE_US: u64 = 1_000_000;

/// Another entry, as seen by this one.
#[derive(Debug)]
pub struct Peer {
    pub info: EntryInfo,
    pub last_contact_us: u64,
    pub refused: bool,
    pub draining: bool,
}

/// A shard's record as last read from the platform.
#[derive(Debug, Clone)]
pub struct KnownRecord {
    pub record: ShardRecord,
    pub revision: u64,
    pub first_seen_us: u64,
}

/// A shard's owner as reported by another entry.
#[derive(Debug, Clone)]
pub struct OwnerHint {
    pub generation: Generation,
    pub owner: ProcessKey,
    pub address: String,
}

/// An entry's view of shard records and other entries.
#[derive(Debug, Default)]
pub struct Claims {
    /// Owners reported by other entries; used for routing only, since the receiver checks its
    /// ownership.
    pub hints: BTreeMap<ShardKey, OwnerHint>,
    pub known: BTreeMap<ShardKey, KnownRecord>,
    pub peers: BTreeMap<ProcessKey, Peer>,
    /// Whether all records have been read from the platform once.
    pub is_synced: bool,
}

impl Claims {
    /// Records a response from another entry.
    pub fn peer_responded(&mut self, info: EntryInfo, draining: bool, now_us: u64) {
        self.peers.insert(
            info.key,
            Peer {
                info,
                last_contact_us: now_us,
                refused: false,
                draining,
            },
        );
    }

    /// Records that an entry's host refused a connection.
    pub fn peer_refused(&mut self, process: ProcessKey) {
        if let Some(peer) = self.peers.get_mut(&process) {
            peer.refused = true;
        }
    }

    /// Subtracts a pause of this process from the silence of other entries.
    pub fn discount_pause(&mut self, pause_us: u64, now_us: u64) {
        for peer in self.peers.values_mut() {
            peer.last_contact_us = (peer.last_contact_us + pause_us).min(now_us);
        }
        for known in self.known.values_mut() {
            known.first_seen_us = (known.first_seen_us + pause_us).min(now_us);
        }
    }

    /// Stores a record; returns whether it is newer than the known one.
    pub fn apply_record(&mut self, record: ShardRecord, revision: u64, now_us: u64) -> bool {
        let shard = record.shard;
        let known = self.known.get(&shard);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let same_owner = known.is_some_and(|known| known.record.owner == record.owner);
        let first_seen_us = match known {
            Some(known) if same_owner => known.first_seen_us,
            _ => now_us,
        };
        self.known.insert(
            shard,
            KnownRecord {
                record,
                revision,
                first_seen_us,
            },
        );
        true
    }

    /// Stores an owner reported by another entry, unless a newer generation is known.
    pub fn record_hint(&mut self, shard: ShardKey, hint: OwnerHint) {
        let known = self.hints.get(&shard);
        if known.is_none_or(|known| known.generation <= hint.generation) {
            self.hints.insert(shard, hint);
        }
    }

    /// Returns the owner of the newest known generation, with its address.
    pub fn owner(&self, shard: ShardKey) -> Option<(ProcessKey, &str)> {
        let record = self.known.get(&shard).map(|known| &known.record);
        let hint = self.hints.get(&shard);
        match (record, hint) {
            (Some(record), Some(hint)) if record.generation < hint.generation => {
                Some((hint.owner, &hint.address))
            }
            (Some(record), _) => Some((record.owner, &record.owner_address)),
            (None, Some(hint)) => Some((hint.owner, &hint.address)),
            (None, None) => None,
        }
    }

    /// Returns the number of shards of a firm; the number at creation overrides the configured one.
    pub fn shard_count(&self, firm: FirmKey, configured: u16) -> u16 {
        let first = ShardKey { firm, index: 0 };
        self.known
            .get(&first)
            .map_or(configured, |known| known.record.shard_count)
            .max(1)
    }

    /// Returns whether a shard has no owner that responded recently.
    pub fn is_owner_silent(&self, shard: ShardKey, now_us: u64) -> bool {
        self.known
            .get(&shard)
            .is_none_or(|known| self.owner_is_silent(known, now_us))
    }

    fn owner_is_silent(&self, known: &KnownRecord, now_us: u64) -> bool {
        let peer = self.peers.get(&known.record.owner);
        let refused = peer.is_some_and(|peer| peer.refused);
        let last_evidence_us = peer
            .map_or(0, |peer| peer.last_contact_us)
            .max(known.first_seen_us);
        let limit_us = if refused {
            REFUSED_SILENCE_US
        } else {
            SILENCE_US
        };
        now_us > last_evidence_us + limit_us
    }

    /// Returns the live entry other than this one that should own a shard, if there is any.
    pub fn best_peer(&self, shard: ShardKey, now_us: u64) -> Option<&Peer> {
        self.peers
            .values()
            .filter(|peer| serves(&peer.info, shard.firm))
            .filter(|peer| !peer.draining && !peer.refused)
            .filter(|peer| now_us < peer.last_contact_us + PEER_LIVE_US)
            .max_by_key(|peer| weight(shard, peer.info.key))
    }

    fn is_preferred_owner(&self, own_info: &EntryInfo, shard: ShardKey, now_us: u64) -> bool {
        if !serves(own_info, shard.firm) {
            return false;
        }
        self.best_peer(shard, now_us)
            .is_none_or(|peer| weight(shard, peer.info.key) < weight(shard, own_info.key))
    }

    /// Returns the record that claims a shard and the revision it replaces, if this entry should
    /// own the shard now.
    pub fn claim(
        &self,
        own_info: &EntryInfo,
        shard: ShardKey,
        shard_count: u16,
        joining: Vec<Member>,
        now_us: u64,
    ) -> Option<(u64, ShardRecord)> {
        if !self.is_synced || !self.is_preferred_owner(own_info, shard, now_us) {
            return None;
        }
        let Some(known) = self.known.get(&shard) else {
            return Some((0, first_record(own_info, shard, shard_count, joining)));
        };
        if known.record.owner == own_info.key || !self.owner_is_silent(known, now_us) {
            return None;
        }
        let mut record = known.record.clone();
        record.generation = record.generation.next();
        record.owner = own_info.key;
        record.owner_address.clone_from(&own_info.address);
        Some((known.revision, record))
    }
}

fn first_record(
    own_info: &EntryInfo,
    shard: ShardKey,
    shard_count: u16,
    roster: Vec<Member>,
) -> ShardRecord {
    ShardRecord {
        shard,
        shard_count,
        generation: Generation(1),
        owner: own_info.key,
        owner_address: own_info.address.clone(),
        roster,
    }
}

fn serves(info: &EntryInfo, firm: FirmKey) -> bool {
    info.firms.is_empty() || info.firms.contains(&firm)
}

/// Returns an entry's weight for a shard (rendezvous hashing, Thaler and Ravishankar 1998).
fn weight(shard: ShardKey, entry: ProcessKey) -> u64 {
    mix64(entry.0 ^ (u64::from(shard.firm.0) << 16) ^ u64::from(shard.index))
}
