//! Settings of an agent.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::load::{self, SettingsError};
use super::log::{self, LogSettings};
use crate::fault::Fault;
use crate::schema::{Key, Kind};

const KEYS: &[Key] = &[
    Key::required("announce_address", Kind::Address),
    Key::required("peer_address", Kind::Address),
    Key::optional("advertised_peer_address", Kind::Address),
    Key::required("failure_domain", Kind::Text),
    Key::required("entries", Kind::Addresses { min_count: 1 }),
    Key::optional_integer("drain_timeout_ms", 0, 600_000),
    Key::optional("log", Kind::Table(log::KEYS)),
    Key::optional("limits", Kind::Table(LIMITS)),
];

const LIMITS: &[Key] = &[
    Key::optional_integer("max_queue_tasks", 1, 1_000_000),
    Key::optional_integer("max_held_bytes", 1, 68_719_476_736),
];

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentSettings {
    /// Loopback address at which the target on the same host announces itself.
    pub announce_address: SocketAddr,
    /// Address that entries connect to.
    pub peer_address: SocketAddr,
    /// Address at which entries on other hosts reach `peer_address`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Addresses of entries to connect to at the start.
    pub entries: Vec<SocketAddr>,
    /// Maximum time that a planned stop waits for tasks in progress.
    #[serde(default = "load::default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Format and levels of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on the agent's queue and memory.
    #[serde(default)]
    pub limits: AgentLimits,
}

/// Limits on an agent's queue and memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AgentLimits {
    /// Maximum number of queued tasks.
    pub max_queue_tasks: u32,
    /// Maximum memory for payloads and results.
    pub max_held_bytes: u64,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            max_queue_tasks: 1_000,
            max_held_bytes: 33_554_432,
        }
    }
}

impl AgentSettings {
    /// Loads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_toml(&path.display().to_string(), &load::read_settings(path)?)
    }

    /// Parses the settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, SettingsError> {
        load::parse(file, text, KEYS, check_consistency)
    }

    /// Returns the address that entries connect to: the advertised one, or else `bound`.
    #[must_use]
    pub fn advertised_peer_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertised_peer_address.unwrap_or(bound)
    }
}

/// Checks values against each other.
fn check_consistency(file: &str, settings: &AgentSettings) -> Vec<Fault> {
    let mut faults = Vec::new();
    if !settings.announce_address.ip().is_loopback() {
        let fault = Fault::error(file, "announce_address", "is not a loopback address");
        faults.push(fault.with_remedy("use an address such as \"127.0.0.1:7200\""));
    }
    faults.extend(load::check_advertised(
        file,
        "peer_address",
        settings.peer_address,
        settings.advertised_peer_address,
    ));
    faults
}
