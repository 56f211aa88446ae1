//! A bounded set of the entries that a process may call.

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
            due_at_ms: 0,
            backoff: self.backoff,
            failures: 0,
            state: self.initial_state.clone(),
        });
        self.peers.last_mut()
    }

    /// Drops the peer with the most failures if the set is full; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MAX_PEERS {
            return true;
        }
        let droppable = |peer: &&Peer<T>| !peer.is_seed && !peer.is_in_flight && !peer.is_confirmed;
        let candidates = self.peers.iter().filter(droppable);
        let worst = candidates.max_by_key(|peer| peer.failures);
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

    /// Returns the addresses to pass on to the process at `to`.
    pub(crate) fn named(&self, to: Option<SocketAddr>) -> Vec<SocketAddr> {
        let confirmed = self.peers.iter().filter(|peer| peer.is_confirmed);
        let addresses = confirmed.map(|peer| peer.address);
        let others = addresses.filter(|address| Some(*address) != to);
        others.take(MAX_NAMED_PEERS).collect()
    }
}

impl<T> Peer<T> {
    /// Records that the peer answered a call or called this process.
    pub(crate) fn confirm(&mut self) {
        self.is_confirmed = true;
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
