//! State that an agent keeps for each entry: its authority, and events not yet acknowledged.

use std::collections::VecDeque;

use model::{RunEvent, RunId};

use crate::limits::{MAX_EVENTS, PERMIT_TTL_MS, RECONNECT_GRACE_MS, SESSION_RETENTION_MS};

/// Whether a host takes tasks. A change is worth an update at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Availability {
    pub(crate) is_open: bool,
    /// When the runs must have ended because the agent shuts down, in milliseconds.
    pub(crate) closes_at_ms: Option<u64>,
}

/// State of one entry.
#[derive(Debug, Default)]
pub(crate) struct Session {
    /// When the entry loses its authority, that is, the right to have runs at this host.
    authority_until_ms: u64,
    last_contact_at_ms: u64,
    last_orders_number: u64,
    last_event_number: u64,
    events: VecDeque<(u64, RunId, RunEvent)>,
    /// Availability of the host in the last update sent.
    pub(crate) last_reported: Option<Availability>,
    /// When the entry gets the effects of kinds on each other again, in milliseconds.
    pub(crate) effects_due_at_ms: u64,
}

impl Session {
    /// Records a request; `issued_ms` is the issue time of its permit if that is valid, which
    /// extends the authority of the entry.
    pub(crate) fn record_contact(&mut self, now_ms: u64, issued_ms: Option<u64>) {
        self.last_contact_at_ms = now_ms;
        if let Some(issued_ms) = issued_ms {
            let until_ms = issued_ms + PERMIT_TTL_MS;
            self.authority_until_ms = self.authority_until_ms.max(until_ms);
        }
    }

    /// Records that the connection closed; the authority ends after a grace period.
    pub(crate) fn record_disconnect(&mut self, now_ms: u64) {
        let until_ms = now_ms + RECONNECT_GRACE_MS;
        self.authority_until_ms = self.authority_until_ms.min(until_ms);
    }

    /// Returns whether the entry has authority.
    pub(crate) fn has_authority(&self, now_ms: u64) -> bool {
        now_ms < self.authority_until_ms
    }

    /// Returns when the authority of the entry ends, in milliseconds.
    pub(crate) fn authority_until_ms(&self) -> u64 {
        self.authority_until_ms
    }

    /// Returns whether the state of the entry can be removed.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_contact_at_ms + SESSION_RETENTION_MS && !self.has_authority(now_ms)
    }

    /// Adds an event; drops the oldest if the entry does not fetch them.
    pub(crate) fn push(&mut self, run: RunId, event: RunEvent) {
        self.last_event_number += 1;
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((self.last_event_number, run, event));
    }

    /// Records the number of a message with orders; returns whether it is new, not a duplicate.
    pub(crate) fn record_orders(&mut self, number: u64) -> bool {
        let is_new = number > self.last_orders_number;
        self.last_orders_number = self.last_orders_number.max(number);
        is_new
    }

    /// Removes the events up to the number `last_seen_event`.
    ///
    /// Later events get higher numbers even if the state of the entry was removed meanwhile;
    /// the entry would ignore lower ones.
    pub(crate) fn acknowledge(&mut self, last_seen_event: u64) {
        self.last_event_number = self.last_event_number.max(last_seen_event);
        while self
            .events
            .front()
            .is_some_and(|(number, ..)| *number <= last_seen_event)
        {
            self.events.pop_front();
        }
    }

    /// Returns the events that have not been acknowledged.
    pub(crate) fn events(&self) -> Vec<(u64, RunId, RunEvent)> {
        self.events.iter().copied().collect()
    }

    /// Returns whether an event above `last_seen_event` justifies an immediate answer; a start does
    /// not.
    pub(crate) fn has_urgent_event(&self, last_seen_event: u64) -> bool {
        let unseen = self
            .events
            .iter()
            .filter(|(number, ..)| *number > last_seen_event);
        unseen
            .into_iter()
            .any(|(.., event)| *event != RunEvent::Started)
    }
}
