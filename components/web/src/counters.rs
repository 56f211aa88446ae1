//! Counters of a server.

use std::cell::Cell;

/// Counters of a server; shared by the tasks of one thread.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections currently open.
    pub connections_open: Cell<u64>,
    /// Connections accepted.
    pub connections_accepted: Cell<u64>,
    /// Connections refused because too many were open.
    pub connections_refused: Cell<u64>,
    /// Failed accepts.
    pub accept_errors: Cell<u64>,
    /// Requests passed to the handler.
    pub requests: Cell<u64>,
    /// Requests that were not valid HTTP.
    pub malformed: Cell<u64>,
    /// Requests whose head or body was too large.
    pub oversized: Cell<u64>,
    /// Requests that were not received in time.
    pub timed_out: Cell<u64>,
    /// Connections closed by the idle timeout.
    pub idle_closed: Cell<u64>,
    /// Connections that broke while a request or response was in transit.
    pub broken: Cell<u64>,
    /// Responses whose write timed out because the client read too slowly.
    pub slow_readers: Cell<u64>,
    /// Requests whose client closed the connection before the response.
    pub abandoned: Cell<u64>,
}

impl ServerCounters {
    /// Returns the names and values of the monotonic counters.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("accepted", self.connections_accepted.get()),
            ("refused", self.connections_refused.get()),
            ("accept_failed", self.accept_errors.get()),
            ("request", self.requests.get()),
            ("malformed", self.malformed.get()),
            ("oversized", self.oversized.get()),
            ("timed_out", self.timed_out.get()),
            ("idle_closed", self.idle_closed.get()),
            ("broken", self.broken.get()),
            ("slow_reader", self.slow_readers.get()),
            ("abandoned", self.abandoned.get()),
        ]
        .into_iter()
    }
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
