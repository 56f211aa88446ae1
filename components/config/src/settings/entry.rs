//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;

use model::FirmKey;
use serde::{Deserialize, Serialize};

use super::load::{self, SettingsError};
use super::log::{self, LogSettings};
use crate::fault::Fault;
use crate::schema::{Key, Kind};

const KEYS: &[Key] = &[
    Key::required("listen_address", Kind::Address),
    Key::optional("advertised_listen_address", Kind::Address),
    Key::required("peer_address", Kind::Address),
    Key::optional("advertised_peer_address", Kind::Address),
    Key::required("failure_domain", Kind::Text),
    Key::optional("region", Kind::Text),
    Key::optional("firms", Kind::Names),
    Key::required("platform_addresses", Kind::Addresses { min_count: 1 }),
    Key::optional("seed_peers", Kind::Addresses { min_count: 0 }),
    Key::optional_integer("drain_timeout_ms", 0, 600_000),
    Key::optional("log", Kind::Table(log::KEYS)),
    Key::optional("limits", Kind::Table(LIMITS)),
];

const LIMITS: &[Key] = &[
    Key::optional_integer("max_connections", 1, 1_000_000),
    Key::optional_integer("max_body_bytes", 1, 1_073_741_824),
    Key::optional_integer("max_header_bytes", 256, 1_048_576),
    Key::optional_integer("max_tasks_per_job", 1, u16::MAX as u64),
    Key::optional_integer("header_timeout_ms", 1, 600_000),
    Key::optional_integer("body_timeout_ms", 1, 600_000),
    Key::optional_integer("idle_timeout_ms", 1, 3_600_000),
];

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// Address that callers connect to.
    pub listen_address: SocketAddr,
    /// Address at which callers on other hosts reach `listen_address`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_listen_address: Option<SocketAddr>,
    /// Address that other processes of the system connect to.
    pub peer_address: SocketAddr,
    /// Address at which processes on other hosts reach `peer_address`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Region of the host.
    #[serde(default)]
    pub region: String,
    /// Names of the firms that the entry serves; empty means all.
    #[serde(default)]
    pub firms: Vec<String>,
    /// Addresses of the platform's key-value service.
    pub platform_addresses: Vec<SocketAddr>,
    /// Addresses of other entries to connect to while the platform is unreachable.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum time that a planned stop waits for requests in progress.
    #[serde(default = "load::default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Format and levels of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Limits on what callers may send to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryLimits {
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Maximum size of a request's body.
    pub max_body_bytes: u64,
    /// Maximum size of a request's head: its first line and its header.
    pub max_header_bytes: u64,
    /// Maximum number of tasks of one job.
    pub max_tasks_per_job: u16,
    /// Maximum time from the first byte of a request to the end of its head.
    pub header_timeout_ms: u64,
    /// Maximum time from the end of a request's head to the end of its body.
    pub body_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_body_bytes: 16_777_216,
            max_header_bytes: 16_384,
            max_tasks_per_job: 10_000,
            header_timeout_ms: 5_000,
            body_timeout_ms: 15_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl EntrySettings {
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

    /// Returns the keys of the firms that the entry serves; empty means all.
    #[must_use]
    pub fn firm_keys(&self) -> Vec<FirmKey> {
        self.firms
            .iter()
            .map(|name| FirmKey::from_name(name))
            .collect()
    }

    /// Returns the address that other processes connect to: the advertised one, or else `bound`.
    #[must_use]
    pub fn advertised_peer_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertised_peer_address.unwrap_or(bound)
    }

    /// Returns the address that callers connect to: the advertised one, or else `bound`.
    #[must_use]
    pub fn advertised_listen_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertised_listen_address.unwrap_or(bound)
    }
}

/// Checks values against each other.
fn check_consistency(file: &str, settings: &EntrySettings) -> Vec<Fault> {
    let mut faults = Vec::new();
    let (listen, peer) = (settings.listen_address, settings.peer_address);
    faults.extend(load::check_advertised(
        file,
        "listen_address",
        listen,
        settings.advertised_listen_address,
    ));
    faults.extend(load::check_advertised(
        file,
        "peer_address",
        peer,
        settings.advertised_peer_address,
    ));
    if listen == peer && listen.port() != 0 {
        let fault = Fault::error(file, "peer_address", "is the same as listen_address");
        faults.push(fault.with_remedy("give each of the two a port of its own"));
    }
    faults
}
