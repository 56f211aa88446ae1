//! Counters of connections.

use std::cell::Cell;
use std::rc::Rc;

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Events of incoming connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkEvent {
    /// A peer was accepted.
    Accepted,
    /// A peer speaks another version.
    RefusedVersion,
    /// A peer asked for another service.
    RefusedService,
    /// A peer expected another incarnation.
    RefusedKey,
    /// The limit of connections was reached.
    RefusedLimit,
    /// The first bytes were not those of the protocol.
    Garbage,
    /// The peer closed or fell silent during the hello.
    HelloIncomplete,
    /// An accepted connection ended with an error, such as a malformed frame.
    Broken,
    /// The system refused to accept a connection.
    AcceptFailed,
}

/// Counts the events of incoming connections; clones share their counts.
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
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the name and number of every kind of event.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        LinkEvent::iter().map(|event| (event.into(), self.get(event)))
    }

    pub(crate) fn count(&self, event: LinkEvent) {
        let count = &self.counts[event as usize];
        count.set(count.get() + 1);
    }

    pub(crate) fn enter(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection {
            open: Rc::clone(&self.open),
        }
    }
}

/// Counts a connection as open while it lives.
pub(crate) struct OpenConnection {
    open: Rc<Cell<usize>>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
