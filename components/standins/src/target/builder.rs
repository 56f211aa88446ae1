//! Builder of the target stand-in.

use std::io;
use std::net::SocketAddr;

use targets::Announcement;

use super::TargetStandin;
use super::announcer::Announcer;

const DEFAULT_SLOTS: u16 = 8;
const DEFAULT_CONNECTIONS: u16 = 64;
const DEFAULT_TTL_MS: u64 = 3_000;

/// Builder of a [`TargetStandin`].
#[derive(Debug, Clone)]
pub struct TargetStandinBuilder {
    pub(super) listen: SocketAddr,
    pub(super) slots: u16,
    pub(super) connections: u16,
    pub(super) speed: f64,
    name: String,
    group: String,
    firms: Vec<String>,
    announce_to: Option<SocketAddr>,
    ttl_ms: u64,
}

impl TargetStandinBuilder {
    pub(super) fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            speed: 1.0,
            name: "target".to_owned(),
            group: "default".to_owned(),
            firms: Vec::new(),
            announce_to: None,
            ttl_ms: DEFAULT_TTL_MS,
        }
    }

    /// Sets the maximum number of concurrent tasks.
    #[must_use]
    pub fn slots(mut self, value: u16) -> Self {
        self.slots = value;
        self
    }

    /// Sets the maximum number of connections.
    #[must_use]
    pub fn connections(mut self, value: u16) -> Self {
        self.connections = value;
        self
    }

    /// Sets the divisor of the run times in payloads.
    ///
    /// # Panics
    ///
    /// Panics if `value` is not positive and finite.
    #[must_use]
    pub fn speed(mut self, value: f64) -> Self {
        assert!(
            value.is_finite() && value > 0.0,
            "speed must be positive and finite"
        );
        self.speed = value;
        self
    }

    /// Sets the name in the announcement.
    #[must_use]
    pub fn name(mut self, value: impl Into<String>) -> Self {
        self.name = value.into();
        self
    }

    /// Sets the group in the announcement.
    #[must_use]
    pub fn group(mut self, value: impl Into<String>) -> Self {
        self.group = value.into();
        self
    }

    /// Adds a firm to the announcement.
    #[must_use]
    pub fn firm(mut self, value: impl Into<String>) -> Self {
        self.firms.push(value.into());
        self
    }

    /// Sets the address of the agent; without one, no announcements are sent.
    #[must_use]
    pub fn announce_to(mut self, value: SocketAddr) -> Self {
        self.announce_to = Some(value);
        self
    }

    /// Sets the time for which an announcement is valid, in milliseconds.
    #[must_use]
    pub fn ttl_ms(mut self, value: u64) -> Self {
        self.ttl_ms = value;
        self
    }

    /// Binds the listen address and starts the server and the announcements.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(self) -> io::Result<TargetStandin> {
        TargetStandin::start(&self)
    }

    pub(super) fn announcer(&self, address: SocketAddr) -> Option<Announcer> {
        let announcement = Announcement {
            name: self.name.clone(),
            address,
            group: self.group.clone(),
            firms: self.firms.clone(),
            slots: self.slots,
            connections: self.connections,
            ttl_ms: self.ttl_ms,
        };
        let agent = self.announce_to?;
        Some(Announcer::new(agent, announcement))
    }
}
