//! What an agent knows of an entry.

use std::collections::VecDeque;

use model::{RunEvent, RunId};

use crate::limits::{LINK_GRACE_MS, MAX_EVENTS, PERMIT_TTL_MS, SESSION_KEPT_MS};

/// An entry that sends orders.
#[derive(Debug, Default)]
pub(crate) struct Session {
    authority_until_ms: u64,
    heard_at_ms: u64,
    last_orders: u64,
    next_event: u64,
    events: VecDeque<(u64, RunId, RunEvent)>,
    /// Whether the host was open in the last news.
    pub(crate) told_open: Option<bool>,
}

impl Session {
    /// Takes note of a sign of life with a permit that was issued at `issued_ms`, if valid.
    pub(crate) fn heard(&mut self, now_ms: u64, issued_ms: Option<u64>) {
        self.heard_at_ms = now_ms;
        if let Some(issued_ms) = issued_ms {
            let until_ms = issued_ms + PERMIT_TTL_MS;
            self.authority_until_ms = self.authority_until_ms.max(until_ms);
        }
    }

    /// Takes note that the connection has closed.
    pub(crate) fn closed(&mut self, now_ms: u64) {
        let until_ms = now_ms + LINK_GRACE_MS;
        self.authority_until_ms = self.authority_until_ms.min(until_ms);
    }

    /// Tells whether the entry's orders count.
    pub(crate) fn has_authority(&self, now_ms: u64) -> bool {
        now_ms < self.authority_until_ms
    }

    /// Returns until when the entry's orders count, in milliseconds.
    pub(crate) fn authority_until_ms(&self) -> u64 {
        self.authority_until_ms
    }

    /// Tells whether the entry has been gone for so long that it can be forgotten.
    pub(crate) fn is_forgotten(&self, now_ms: u64) -> bool {
        now_ms >= self.heard_at_ms + SESSION_KEPT_MS && !self.has_authority(now_ms)
    }

    /// Adds an event; the oldest goes if the entry does not fetch them.
    pub(crate) fn push(&mut self, run: RunId, event: RunEvent) {
        self.next_event += 1;
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((self.next_event, run, event));
    }

    /// Tells whether orders are new, and takes note of their number.
    pub(crate) fn is_new(&mut self, number: u64) -> bool {
        let is_new = number > self.last_orders;
        self.last_orders = self.last_orders.max(number);
        is_new
    }

    /// Forgets the events up to a number; later ones are numbered above it, also if this agent
    /// has forgotten the entry since.
    pub(crate) fn acknowledge(&mut self, seen: u64) {
        self.next_event = self.next_event.max(seen);
        while self
            .events
            .front()
            .is_some_and(|(number, ..)| *number <= seen)
        {
            self.events.pop_front();
        }
    }

    /// Returns the events that have not been acknowledged.
    pub(crate) fn events(&self) -> Vec<(u64, RunId, RunEvent)> {
        self.events.iter().copied().collect()
    }

    /// Tells whether there is an event worth an answer at once; a start alone is not.
    pub(crate) fn has_urgent(&self, seen: u64) -> bool {
        let unseen = self.events.iter().filter(|(number, ..)| *number > seen);
        unseen
            .into_iter()
            .any(|(.., event)| *event != RunEvent::Started)
    }
}
