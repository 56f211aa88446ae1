//! Whether an entry asks its peers for state, whom and when.

use std::net::SocketAddr;

use runtime::Backoff;
use strum::EnumCount;

use crate::limits::{
    MAX_NAMED_PEERS, MAX_PARALLEL_CALLS, MAX_QUERY_PAUSE_MS, MIN_QUERY_PAUSE_MS, QUERY_DELAY_MS,
    REFRESH_INTERVAL_MS, STARTING_PERIOD_MS,
};
use crate::peer_set::{Peer, PeerSet};

/// What an entry reads from the store, each in a loop of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount)]
pub enum StorePart {
    /// The configuration.
    Configuration,
    /// The registrations of hosts.
    Hosts,
}

/// What this entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Revision of its configuration; 0 if it has none.
    pub revision: u64,
    /// Number of hosts.
    pub host_count: usize,
}

/// A call to make to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether the peer's hosts are wanted.
    pub wants_hosts: bool,
    /// Digest of the hosts in the peer's last reply; 0 if there was none.
    pub seen_hosts_digest: u64,
}

/// What a peer's reply contained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplySummary {
    /// What the peer knows.
    pub knowledge: Knowledge,
    /// Whether the peer's hosts include those that the store listed.
    pub is_listed: bool,
    /// Digest of its hosts if the reply brought them, or if they are the ones seen before.
    pub hosts_digest: Option<u64>,
}

/// A peer as the state dump shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Address of its bootstrap service.
    pub address: SocketAddr,
    /// Whether the settings name it.
    pub is_seed: bool,
    /// Whether it has called this entry, or answered its last call.
    pub is_confirmed: bool,
    /// What it told last that it knows.
    pub known: Option<Knowledge>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum StoreContact {
    /// No call has ended.
    #[default]
    Unknown,
    Answering,
    Failing,
}

/// What an entry needs from its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    Nothing,
    /// Its address known to the other entries.
    Introduction,
    /// What is newer than its own state, from one peer at a time.
    Refresh,
    /// A state to begin with, from several peers at a time.
    State,
}

#[derive(Debug, Default, Clone)]
struct EntryState {
    seen_hosts_digest: u64,
    /// Whether the peer has answered a call or made one, and so knows this entry's address.
    is_introduced: bool,
    /// What the peer has told last that it knows.
    known: Option<Knowledge>,
    /// Whether the peer has told that it knows more than this entry.
    has_news: bool,
}

/// Decides about the calls of an entry to other entries.
#[derive(Debug)]
pub struct Exchange {
    peers: PeerSet<EntryState>,
    started_at_ms: u64,
    store: [StoreContact; StorePart::COUNT],
    /// Whether the store has listed the hosts to this entry, or to a peer that replied.
    is_listed: bool,
    refresh_at_ms: u64,
}

impl Exchange {
    /// Creates the state of an entry that starts at `now_ms`.
    ///
    /// `own_address` is the address at which peers reach it; `seed` should differ between entries.
    #[must_use]
    pub fn new(now_ms: u64, own_address: Option<SocketAddr>, seed: u64) -> Self {
        let backoff = Backoff::builder(MIN_QUERY_PAUSE_MS, MAX_QUERY_PAUSE_MS).seed(seed);
        Self {
            peers: PeerSet::new(own_address, backoff.build(), EntryState::default()),
            started_at_ms: now_ms,
            store: [StoreContact::default(); StorePart::COUNT],
            is_listed: false,
            refresh_at_ms: 0,
        }
    }

    /// Replaces the seeds by those of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.peers.set_seeds(seeds);
    }

    /// Records how a call to the store ended.
    pub fn record_store_call(&mut self, part: StorePart, is_answered: bool) {
        self.store[part as usize] = if is_answered {
            StoreContact::Answering
        } else {
            StoreContact::Failing
        };
        self.is_listed |= part == StorePart::Hosts && is_answered;
    }

    /// Returns whether the store answers the reads of both parts.
    #[must_use]
    pub fn is_store_answering(&self) -> bool {
        self.store == [StoreContact::Answering; StorePart::COUNT]
    }

    /// Returns whether the hosts known include those that the store listed, to this entry or to a
    /// peer that replied.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the calls to make now, and records them as in flight.
    pub fn take_due(&mut self, now_ms: u64, known: Knowledge) -> Vec<Query> {
        let need = self.need(now_ms, known);
        let free = MAX_PARALLEL_CALLS.saturating_sub(self.peers.in_flight());
        let due_peers = || self.peers.iter().filter(|peer| peer.is_due(now_ms));
        let with_news = due_peers().filter(|peer| peer.state.has_news);
        let mut due: Vec<SocketAddr> = with_news.take(free).map(|peer| peer.address).collect();
        let limit = match need {
            Need::Nothing => 0,
            // One peer at a time; peers with news are asked in any case.
            Need::Refresh if now_ms < self.refresh_at_ms || free < MAX_PARALLEL_CALLS => 0,
            Need::Refresh => 1,
            Need::Introduction | Need::State => free,
        };
        let is_wanted = |peer: &&Peer<EntryState>| {
            let is_introduced = need == Need::Introduction && peer.state.is_introduced;
            limit > 0 && !peer.state.has_news && !is_introduced
        };
        let mut others: Vec<&Peer<EntryState>> = due_peers().filter(is_wanted).collect();
        // Those not called for the longest time first.
        others.sort_by_key(|peer| peer.due_at_ms);
        let room = limit.min(free - due.len());
        due.extend(others.iter().take(room).map(|peer| peer.address));
        if need == Need::Refresh && !due.is_empty() {
            self.refresh_at_ms = now_ms + REFRESH_INTERVAL_MS;
        }
        let wants_hosts = !self.is_store_answering();
        let calls = due.into_iter();
        calls
            .filter_map(|address| self.start_call(address, wants_hosts))
            .collect()
    }

    fn start_call(&mut self, address: SocketAddr, wants_hosts: bool) -> Option<Query> {
        let peer = self.peers.get_mut(address)?;
        peer.is_in_flight = true;
        peer.state.has_news = false;
        Some(Query {
            address,
            wants_hosts,
            seen_hosts_digest: peer.state.seen_hosts_digest,
        })
    }

    /// Records the reply of a peer.
    pub fn answered(&mut self, now_ms: u64, address: SocketAddr, reply: ReplySummary) {
        let Some(peer) = self.peers.get_mut(address) else {
            return;
        };
        peer.is_in_flight = false;
        peer.confirm(now_ms);
        peer.state.is_introduced = true;
        if let Some(digest) = reply.hosts_digest {
            peer.state.seen_hosts_digest = digest;
        }
        peer.state.known = Some(reply.knowledge);
        // Without its hosts, a reply says only that the peer has them.
        let has_hosts = reply.hosts_digest.is_some();
        let is_complete = has_hosts && reply.is_listed && reply.knowledge.is_complete();
        peer.due_at_ms = if is_complete {
            peer.backoff.record_success();
            now_ms + REFRESH_INTERVAL_MS
        } else {
            peer.backoff.record_failure(now_ms)
        };
        if peer.state.has_news {
            // The peer has told its news since this call started; the reply may not contain them.
            peer.due_at_ms = 0;
        }
        self.is_listed |= is_complete;
    }

    /// Records that a call to a peer failed.
    pub fn failed(&mut self, now_ms: u64, address: SocketAddr) {
        self.peers.failed(now_ms, address);
        // Machines that are gone must not use up the calls of a refresh.
        self.refresh_at_ms = now_ms;
    }

    /// Records that a peer called this entry and told its address and what it knows.
    ///
    /// If it knows more than this entry, or has newer evacuations, it is asked immediately.
    pub fn contacted(
        &mut self,
        now_ms: u64,
        address: SocketAddr,
        theirs: Knowledge,
        known: Knowledge,
        has_newer_evacuations: bool,
    ) {
        let is_store_answering = self.is_store_answering();
        let Some(peer) = self.peers.insert(address) else {
            return;
        };
        peer.confirm(now_ms);
        peer.state.is_introduced = true;
        peer.state.known = Some(theirs);
        let has_more_hosts = !is_store_answering && theirs.host_count > known.host_count;
        if theirs.revision > known.revision || has_more_hosts || has_newer_evacuations {
            peer.state.has_news = true;
            peer.expedite();
        }
    }

    /// Adds peers that a message named.
    pub fn learn(&mut self, addresses: &[SocketAddr]) {
        for &address in addresses.iter().take(MAX_NAMED_PEERS) {
            self.peers.insert(address);
        }
    }

    /// Returns the addresses of entries to pass on to the process at `to`.
    #[must_use]
    pub fn named(&self, to: Option<SocketAddr>) -> Vec<SocketAddr> {
        self.peers.named(to)
    }

    /// Returns the peers, for the state dump.
    pub fn peers(&self) -> impl Iterator<Item = PeerStatus> {
        self.peers.iter().map(|peer| PeerStatus {
            address: peer.address,
            is_seed: peer.is_seed,
            is_confirmed: peer.is_confirmed,
            known: peer.state.known,
        })
    }

    fn need(&self, now_ms: u64, known: Knowledge) -> Need {
        if self.is_store_answering() {
            return if self.is_starting(now_ms) {
                Need::Introduction
            } else {
                Need::Nothing
            };
        }
        let is_failing = self.store.contains(&StoreContact::Failing);
        if !is_failing && now_ms < self.started_at_ms + QUERY_DELAY_MS {
            return Need::Nothing;
        }
        let is_settled = self.is_listed || !self.is_starting(now_ms);
        if known.is_complete() && is_settled {
            Need::Refresh
        } else {
            Need::State
        }
    }

    fn is_starting(&self, now_ms: u64) -> bool {
        now_ms < self.started_at_ms + STARTING_PERIOD_MS
    }
}

impl Knowledge {
    /// Returns whether an entry that knows this can serve.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.revision > 0 && self.host_count > 0
    }
}
