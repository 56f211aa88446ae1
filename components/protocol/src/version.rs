//! Versions of the protocol, and what is known of the versions of peers.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use model::ProcessKey;

use crate::codec::Encoding;

/// Newest version of the protocol that this program uses.
pub const VERSION: u32 = 6;

/// Oldest version of the protocol that this program uses.
pub const OLDEST_VERSION: u32 = 5;

/// First version whose messages describe their fields.
const FIRST_NAMED_VERSION: u32 = 6;

/// Most addresses of peers with an older version that a process remembers; above the number of
/// processes in the largest installation planned.
const MAX_REMEMBERED_PEERS: usize = 4_096;

/// The versions that a process uses, from the oldest to the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRange {
    /// Oldest version.
    pub oldest: u32,
    /// Newest version.
    pub newest: u32,
}

impl VersionRange {
    /// The versions that this program uses.
    pub const OWN: Self = Self {
        oldest: OLDEST_VERSION,
        newest: VERSION,
    };

    /// Returns the range of one version.
    #[must_use]
    pub fn single(version: u32) -> Self {
        Self {
            oldest: version,
            newest: version,
        }
    }

    /// Returns the newest version that both ranges contain, if there is one.
    #[must_use]
    pub fn newest_common(self, other: Self) -> Option<u32> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest && newest >= other.oldest).then_some(newest)
    }

    /// Returns whether the range contains a version.
    #[must_use]
    pub fn contains(self, version: u32) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

/// Returns how the messages of a version are encoded.
pub(crate) fn encoding(version: u32) -> Encoding {
    if version < FIRST_NAMED_VERSION {
        Encoding::Positional
    } else {
        Encoding::Named
    }
}

/// What a process knows of the versions of its peers; clones share it.
#[derive(Debug, Clone)]
pub struct PeerVersions {
    state: Rc<RefCell<State>>,
}

impl Default for PeerVersions {
    fn default() -> Self {
        Self::new(VersionRange::OWN)
    }
}

#[derive(Debug)]
struct State {
    own: VersionRange,
    /// Peers that refused the newest version, by address.
    older_peers: HashMap<String, OlderPeer>,
    open_connections: BTreeMap<u32, usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OlderPeer {
    incarnation: ProcessKey,
    version: u32,
}

impl PeerVersions {
    /// Creates the state of a process that uses these versions.
    pub(crate) fn new(own: VersionRange) -> Self {
        let state = State {
            own,
            older_peers: HashMap::new(),
            open_connections: BTreeMap::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Returns the versions that this process uses.
    pub(crate) fn own(&self) -> VersionRange {
        self.state.borrow().own
    }

    /// Returns the number of open connections by version, in both directions.
    #[must_use]
    pub fn open_connections(&self) -> BTreeMap<u32, usize> {
        self.state.borrow().open_connections.clone()
    }

    /// Returns the versions to offer to the peer at an address.
    pub(crate) fn offer_for(&self, address: &str) -> VersionRange {
        let state = self.state.borrow();
        let known = state.older_peers.get(address);
        known.map_or(state.own, |peer| VersionRange::single(peer.version))
    }

    /// Remembers the version of a peer that uses no newer one; returns whether this is news.
    pub(crate) fn remember(&self, address: &str, incarnation: ProcessKey, version: u32) -> bool {
        let mut state = self.state.borrow_mut();
        if state.older_peers.len() >= MAX_REMEMBERED_PEERS {
            state.older_peers.clear();
        }
        let peer = OlderPeer {
            incarnation,
            version,
        };
        state.older_peers.insert(address.to_owned(), peer) != Some(peer)
    }

    /// Forgets the version of the peer at an address, which uses a newer one now.
    pub(crate) fn forget(&self, address: &str) {
        self.state.borrow_mut().older_peers.remove(address);
    }

    pub(crate) fn track_open(&self, version: u32) -> OpenVersionGuard {
        let mut state = self.state.borrow_mut();
        *state.open_connections.entry(version).or_default() += 1;
        drop(state);
        OpenVersionGuard {
            versions: self.clone(),
            version,
        }
    }
}

/// Counts a connection as open in its version until dropped.
pub(crate) struct OpenVersionGuard {
    versions: PeerVersions,
    version: u32,
}

impl Drop for OpenVersionGuard {
    fn drop(&mut self) {
        let mut state = self.versions.state.borrow_mut();
        if let Some(count) = state.open_connections.get_mut(&self.version) {
            *count -= 1;
        }
    }
}
