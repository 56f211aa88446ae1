//! Limits that protect a server from slow, oversized and excessive input.

use std::cell::Cell;
use std::rc::Rc;

/// Limits of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest accepted body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest accepted head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Longest time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Timeout for reading the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for reading a request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Timeout for writing a response or one line of a stream, in milliseconds.
    pub write_timeout_ms: u64,
    /// Whether the handler is dropped as soon as its client closes the connection.
    pub drops_abandoned: bool,
}

/// Largest value of `max_header_bytes`; the codec does not support longer header names.
const MAX_HEADER_BYTES: usize = 64 * 1024 - 1;

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            max_connections: 4_096,
            idle_timeout_ms: 60_000,
            header_timeout_ms: 10_000,
            read_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
            drops_abandoned: false,
        }
    }
}

impl ServerLimits {
    /// Returns a builder with the default limits.
    #[must_use]
    pub fn builder() -> ServerLimitsBuilder {
        ServerLimitsBuilder(Self::default())
    }
}

/// Builds [`ServerLimits`].
#[derive(Debug, Clone)]
pub struct ServerLimitsBuilder(ServerLimits);

impl ServerLimitsBuilder {
    /// Sets the largest body, in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, value: usize) -> Self {
        self.0.max_body_bytes = value;
        self
    }

    /// Sets the largest head, in bytes; at most 64 KiB less one byte.
    #[must_use]
    pub fn max_header_bytes(mut self, value: usize) -> Self {
        self.0.max_header_bytes = value.min(MAX_HEADER_BYTES);
        self
    }

    /// Sets the largest number of open connections.
    #[must_use]
    pub fn max_connections(mut self, value: usize) -> Self {
        self.0.max_connections = value;
        self
    }

    /// Sets the idle timeout, in milliseconds.
    #[must_use]
    pub fn idle_timeout_ms(mut self, value: u64) -> Self {
        self.0.idle_timeout_ms = value;
        self
    }

    /// Sets the timeout for reading the head of a request, in milliseconds.
    #[must_use]
    pub fn header_timeout_ms(mut self, value: u64) -> Self {
        self.0.header_timeout_ms = value;
        self
    }

    /// Sets the timeout for reading a request, in milliseconds.
    #[must_use]
    pub fn read_timeout_ms(mut self, value: u64) -> Self {
        self.0.read_timeout_ms = value;
        self
    }

    /// Sets whether the handler is dropped as soon as its client closes the connection.
    #[must_use]
    pub fn drops_abandoned(mut self, value: bool) -> Self {
        self.0.drops_abandoned = value;
        self
    }

    /// Sets the timeout for writing a response, in milliseconds.
    #[must_use]
    pub fn write_timeout_ms(mut self, value: u64) -> Self {
        self.0.write_timeout_ms = value;
        self
    }

    /// Returns the limits.
    #[must_use]
    pub fn build(self) -> ServerLimits {
        self.0
    }
}

/// Limits that may change while their server runs.
///
/// Clones share the limits. A change applies to requests that begin after it.
#[derive(Debug, Clone)]
pub struct CurrentLimits(Rc<Cell<ServerLimits>>);

impl CurrentLimits {
    /// Returns the current limits.
    #[must_use]
    pub fn get(&self) -> ServerLimits {
        self.0.get()
    }

    /// Replaces the limits.
    pub fn set(&self, limits: ServerLimits) {
        self.0.set(limits);
    }
}

impl From<ServerLimits> for CurrentLimits {
    fn from(limits: ServerLimits) -> Self {
        Self(Rc::new(Cell::new(limits)))
    }
}
