//! Counters of incoming connections.

use std::cell::Cell;
use std::rc::Rc;

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Events of incoming connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkEvent {
    /// A connection was accepted.
    Accepted,
    /// A peer uses another version of the protocol.
    RefusedVersion,
    /// A peer asked for another service.
    RefusedService,
    /// A peer expected another incarnation.
    RefusedKey,
    /// The connection limit was reached.
    RefusedLimit,
    /// The first bytes were not [`MAGIC`](crate::MAGIC): the peer uses another protocol.
    Garbage,
    /// The peer closed the connection or timed out during the handshake.
    HelloIncomplete,
    /// An accepted connection ended with an error, such as a malformed frame.
    Broken,
    /// The operating system failed to accept a connection.
    AcceptFailed,
}

/// Counts the events of incoming connections, and those that are open; clones share their counts.
#[derive(Debug, Clone, Default)]
pub struct LinkCounters {
    counts: Rc<[Cell<u64>; LinkEvent::COUNT]>,
    open: Rc<Cell<usize>>,
}

impl LinkCounters {
    /// Returns the number of events of one kind.
    #[must_use]
    pub fn get(&self, event: LinkEvent) -> u64 {
        self.counts[event as usize].get()
    }

    /// Returns the number of accepted connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the name and count of each kind of event.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        LinkEvent::iter().map(|event| (event.into(), self.get(event)))
    }

    pub(crate) fn count(&self, event: LinkEvent) {
        let count = &self.counts[event as usize];
        count.set(count.get() + 1);
    }

    pub(crate) fn track_open(&self) -> OpenConnectionGuard {
        self.open.set(self.open.get() + 1);
        OpenConnectionGuard {
            open: Rc::clone(&self.open),
        }
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnectionGuard {
    open: Rc<Cell<usize>>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
