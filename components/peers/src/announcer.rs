//! Whether an agent announces its host to entries, to whom and when.

use std::net::SocketAddr;

use model::{ProcessKey, mix64};
use runtime::Backoff;
use rustc_hash::FxHashMap;

use crate::limits::{
    ANNOUNCE_DELAY_MS, ANNOUNCE_SPREAD_MS, MAX_ANNOUNCE_PAUSE_MS, MAX_NAMED_PEERS,
    MAX_OFFER_PAUSE_MS, MAX_PARALLEL_CALLS, MAX_SILENT_PAUSE_MS, MIN_ANNOUNCE_PAUSE_MS,
    MIN_OFFER_PAUSE_MS, OFFER_DELAY_MS, OFFER_DURATION_MS,
};
use crate::peer_set::{Peer, PeerSet};

#[derive(Debug, Clone)]
struct EntryState {
    /// Connections of the entry to this agent.
    connections: usize,
    /// Until when the host is offered because the connection was lost, in milliseconds.
    offered_until_ms: u64,
    /// Pauses between announcements that the entry answers.
    repetition: Backoff,
    /// Pauses between announcements that the entry does not answer while the host is not offered.
    silence: Backoff,
}

/// Decides about the announcements of an agent.
#[derive(Debug)]
pub struct Announcer {
    entries: PeerSet<EntryState>,
    connected: FxHashMap<ProcessKey, SocketAddr>,
    /// Time from the loss of the registration to the first announcement, in milliseconds.
    announce_delay_ms: u64,
    /// Since when the store has not confirmed the registration, in milliseconds; `None` if it has.
    unconfirmed_since_ms: Option<u64>,
}

impl Announcer {
    /// Creates the state of an agent that starts at `now_ms`; `seed` should differ between agents.
    #[must_use]
    pub fn new(now_ms: u64, seed: u64) -> Self {
        let pauses = Backoff::builder(MIN_OFFER_PAUSE_MS, MAX_OFFER_PAUSE_MS).seed(seed);
        let repetition = Backoff::builder(MIN_ANNOUNCE_PAUSE_MS, MAX_ANNOUNCE_PAUSE_MS).seed(seed);
        let silence = Backoff::builder(MIN_OFFER_PAUSE_MS, MAX_SILENT_PAUSE_MS).seed(seed);
        let initial_state = EntryState {
            connections: 0,
            offered_until_ms: 0,
            repetition: repetition.build(),
            silence: silence.build(),
        };
        Self {
            entries: PeerSet::new(None, pauses.build(), initial_state),
            connected: FxHashMap::default(),
            announce_delay_ms: ANNOUNCE_DELAY_MS + mix64(seed) % ANNOUNCE_SPREAD_MS,
            unconfirmed_since_ms: Some(now_ms),
        }
    }

    /// Replaces the seeds by those of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.entries.set_seeds(seeds);
    }

    /// Records that the store holds the registration.
    pub fn registration_confirmed(&mut self) {
        if self.unconfirmed_since_ms.take().is_none() {
            return;
        }
        for entry in self.entries.iter_mut() {
            entry.state.repetition.record_success();
            entry.state.silence.record_success();
            if entry.state.offered_until_ms == 0 {
                entry.due_at_ms = 0;
            }
        }
    }

    /// Records that the registration is missing, or that a call to the store about it failed.
    pub fn registration_unconfirmed(&mut self, now_ms: u64) {
        self.unconfirmed_since_ms.get_or_insert(now_ms);
    }

    /// Records that an entry has connected and told its address.
    pub fn entry_connected(&mut self, now_ms: u64, key: ProcessKey, address: SocketAddr) {
        let Some(entry) = self.entries.insert(address) else {
            return;
        };
        entry.confirm(now_ms);
        entry.state.connections += 1;
        entry.is_connected = true;
        entry.state.offered_until_ms = 0;
        self.connected.insert(key, address);
    }

    /// Records that a connection of an entry has ended.
    pub fn entry_disconnected(&mut self, now_ms: u64, key: ProcessKey) {
        let Some(&address) = self.connected.get(&key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(address) else {
            return;
        };
        entry.state.connections = entry.state.connections.saturating_sub(1);
        if entry.state.connections > 0 {
            return;
        }
        entry.is_connected = false;
        entry.confirm(now_ms);
        self.connected.remove(&key);
        entry.expedite();
        entry.state.silence.record_success();
        entry.due_at_ms = now_ms + OFFER_DELAY_MS;
        entry.state.offered_until_ms = now_ms + OFFER_DURATION_MS;
    }

    /// Returns the entries to announce the host to now, and records the calls as in flight.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let is_announcing = self.is_announcing(now_ms);
        let free = MAX_PARALLEL_CALLS.saturating_sub(self.entries.in_flight());
        let is_wanted = |entry: &&mut Peer<EntryState>| {
            let is_offered = now_ms < entry.state.offered_until_ms;
            !entry.is_connected && (is_announcing || is_offered) && entry.is_due(now_ms)
        };
        let mut due: Vec<&mut Peer<EntryState>> =
            self.entries.iter_mut().filter(is_wanted).collect();
        due.sort_by_key(|entry| entry.due_at_ms);
        let due = due.into_iter().take(free);
        due.map(|entry| {
            entry.is_in_flight = true;
            entry.address
        })
        .collect()
    }

    /// Records that an entry answered an announcement, and the entries that it named.
    pub fn answered(&mut self, now_ms: u64, address: SocketAddr, named: &[SocketAddr]) {
        if let Some(entry) = self.entries.get_mut(address) {
            entry.is_in_flight = false;
            entry.confirm(now_ms);
            entry.backoff.record_success();
            entry.state.silence.record_success();
            entry.state.offered_until_ms = 0;
            // The announcement is repeated in case the entry restarts.
            entry.due_at_ms = entry.state.repetition.record_failure(now_ms);
        }
        for &address in named.iter().take(MAX_NAMED_PEERS) {
            self.entries.insert(address);
        }
    }

    /// Records that an announcement to an entry failed.
    pub fn failed(&mut self, now_ms: u64, address: SocketAddr) {
        self.entries.failed(now_ms, address);
        let Some(entry) = self.entries.get_mut(address) else {
            return;
        };
        if now_ms >= entry.state.offered_until_ms {
            entry.state.offered_until_ms = 0;
            entry.due_at_ms = entry.state.silence.record_failure(now_ms);
        }
    }

    /// Returns the addresses of entries to pass on to the entry at `to`.
    #[must_use]
    pub fn named(&self, to: SocketAddr) -> Vec<SocketAddr> {
        self.entries.named(Some(to))
    }

    /// Returns whether the host is announced because its registration is not confirmed.
    fn is_announcing(&self, now_ms: u64) -> bool {
        self.unconfirmed_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + self.announce_delay_ms)
    }
}
