//! A bounded set of the entries that a process may call.

use std::cmp::Reverse;
use std::net::SocketAddr;

use runtime::Backoff;

use crate::limits::{MAX_FAILURES, MAX_NAMED_PEERS, MAX_PEERS};

/// A process that may be called.
#[derive(Debug)]
pub(crate) struct Peer<T> {
    pub(crate) address: SocketAddr,
    /// Whether the settings name the peer; seeds are never dropped.
    pub(crate) is_seed: bool,
    /// Whether the peer has called this process, or answered its last call. Other peers are not
    /// named in messages, so that an address that is out of use does not circulate.
    pub(crate) is_confirmed: bool,
    pub(crate) is_in_flight: bool,
    /// Whether the peer has a connection open to this process; it is not dropped meanwhile.
    pub(crate) is_connected: bool,
    /// When the peer last called this process or answered a call, in milliseconds; 0 if it has not.
    last_contact_at_ms: u64,
    /// Time of the next call, in milliseconds.
    pub(crate) due_at_ms: u64,
    /// Pauses after calls that failed or brought nothing.
    pub(crate) backoff: Backoff,
    failures: u32,
    pub(crate) state: T,
}

/// The peers of a process, with what is known of each.
#[derive(Debug)]
pub(crate) struct PeerSet<T> {
    own_address: Option<SocketAddr>,
    backoff: Backoff,
    initial_state: T,
    peers: Vec<Peer<T>>,
}

impl<T: Clone> PeerSet<T> {
    /// Creates an empty set; `own_address` is never added to it, and each peer that is gets the
    /// pauses of `backoff` and a copy of `initial_state`.
    pub(crate) fn new(own_address: Option<SocketAddr>, backoff: Backoff, initial_state: T) -> Self {
        Self {
            own_address,
            backoff,
            initial_state,
            peers: Vec::new(),
        }
    }

    /// Replaces the seeds.
    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        for peer in &mut self.peers {
            peer.is_seed = false;
        }
        for &seed in seeds {
            if let Some(peer) = self.insert(seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Adds a peer unless it is known; returns it, or `None` if there is no room or the address
    /// cannot be called.
    pub(crate) fn insert(&mut self, address: SocketAddr) -> Option<&mut Peer<T>> {
        if let Some(at) = self.peers.iter().position(|peer| peer.address == address) {
            return Some(&mut self.peers[at]);
        }
        let is_callable = address.port() != 0 && !address.ip().is_unspecified();
        if !is_callable || self.own_address == Some(address) || !self.make_room() {
            return None;
        }
        self.peers.push(Peer {
            address,
            is_seed: false,
            is_confirmed: false,
            is_in_flight: false,
            is_connected: false,
            last_contact_at_ms: 0,
            due_at_ms: 0,
            backoff: self.backoff,
            failures: 0,
            state: self.initial_state.clone(),
        });
        self.peers.last_mut()
    }

    /// Drops a peer if the set is full: the one with the most failures of those that are not
    /// confirmed, else the one whose last contact is the oldest. Returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MAX_PEERS {
            return true;
        }
        let is_droppable =
            |peer: &&Peer<T>| !peer.is_seed && !peer.is_in_flight && !peer.is_connected;
        let candidates = self.peers.iter().filter(is_droppable);
        let worst = candidates.min_by_key(|peer| {
            let failures = Reverse(peer.failures);
            (peer.is_confirmed, failures, peer.last_contact_at_ms)
        });
        let Some(address) = worst.map(|peer| peer.address) else {
            return false;
        };
        self.peers.retain(|peer| peer.address != address);
        true
    }

    pub(crate) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Peer<T>> {
        self.peers.iter_mut().find(|peer| peer.address == address)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer<T>> {
        self.peers.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer<T>> {
        self.peers.iter_mut()
    }

    /// Returns the number of calls in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.peers.iter().filter(|peer| peer.is_in_flight).count()
    }

    /// Records that a call to a peer has failed, and drops a peer that has failed too often.
    pub(crate) fn failed(&mut self, now_ms: u64, address: SocketAddr) {
        let Some(peer) = self.get_mut(address) else {
            return;
        };
        peer.is_in_flight = false;
        peer.is_confirmed = false;
        peer.failures += 1;
        peer.due_at_ms = peer.backoff.record_failure(now_ms);
        if peer.failures >= MAX_FAILURES && !peer.is_seed {
            self.peers.retain(|peer| peer.address != address);
        }
    }

    /// Returns the addresses to pass on to the process at `to`: connected peers first, then those of
    /// the most recent contact.
    pub(crate) fn named(&self, to: Option<SocketAddr>) -> Vec<SocketAddr> {
        let is_named = |peer: &&Peer<T>| peer.is_confirmed && Some(peer.address) != to;
        let mut named: Vec<&Peer<T>> = self.peers.iter().filter(is_named).collect();
        named.sort_by_key(|peer| Reverse((peer.is_connected, peer.last_contact_at_ms)));
        let named = named.into_iter().take(MAX_NAMED_PEERS);
        named.map(|peer| peer.address).collect()
    }
}

impl<T> Peer<T> {
    /// Records that the peer answered a call or called this process.
    pub(crate) fn confirm(&mut self, now_ms: u64) {
        self.is_confirmed = true;
        self.last_contact_at_ms = now_ms;
        self.failures = 0;
    }

    /// Records that the next call is due immediately.
    pub(crate) fn expedite(&mut self) {
        self.backoff.record_peer_start();
        self.due_at_ms = 0;
    }

    /// Returns whether the peer may be called.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_in_flight && self.due_at_ms <= now_ms
    }
}
