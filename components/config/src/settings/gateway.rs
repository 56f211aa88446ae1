//! Settings of an entry on the users' platform.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::load::{self, SettingsError};
use super::log::{self, LogSettings};
use crate::schema::{Key, Kind};

const KEYS: &[Key] = &[
    Key::required("name", Kind::Text),
    Key::required("failure_domain", Kind::Text),
    Key::required("callers_address", Kind::Address),
    Key::required("readiness_address", Kind::Address),
    Key::required("peer_address", Kind::Address),
    Key::optional("metrics_address", Kind::Address),
    Key::required("store_address", Kind::Address),
    Key::optional("seed_peers", Kind::Addresses { min_count: 0 }),
    Key::optional_integer("drain_timeout_ms", 0, 600_000),
    Key::optional_integer("evacuation_bound_ms", 2_000, 600_000),
    Key::optional_integer("far_factor_percent", 100, 10_000),
    Key::optional("separate_interfering_tasks", Kind::Boolean),
    Key::optional("log", Kind::Table(log::KEYS)),
    Key::optional("limits", Kind::Table(LIMITS)),
];

const LIMITS: &[Key] = &[
    Key::optional_integer("max_connections", 1, 1_000_000),
    Key::optional_integer("max_body_bytes", 1, 1_073_741_824),
    Key::optional_integer("max_header_bytes", 256, 1_048_576),
    Key::optional_integer("read_timeout_ms", 1, 600_000),
    Key::optional_integer("idle_timeout_ms", 1, 3_600_000),
];

/// Settings of an entry on the users' platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address that callers connect to.
    pub callers_address: SocketAddr,
    /// Address that serves the readiness check.
    pub readiness_address: SocketAddr,
    /// Address that other entries, and agents with announcements, connect to.
    pub peer_address: SocketAddr,
    /// Address that serves the metrics; absent if they are not served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// Addresses of entries to exchange state with while the store is unreachable; empty if the
    /// entry takes no part in the exchange.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum duration of a planned stop.
    #[serde(default = "load::default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Time after which nothing may start any more in a failure domain that the operator has
    /// evacuated; absent if evacuations are not followed.
    #[serde(default)]
    pub evacuation_bound_ms: Option<u64>,
    /// Expected running time of a task on a host without the label that the task prefers, such as
    /// that of its data's location, in percent of the time on a host with it.
    #[serde(default = "default_far_factor_percent")]
    pub far_factor_percent: u64,
    /// Whether kinds of task that slow each other down on one host are detected and kept apart.
    #[serde(default)]
    pub separate_interfering_tasks: bool,
    /// Format and levels of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: GatewayLimits,
}

/// Limits on what callers may send to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayLimits {
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Maximum size of a request's body.
    pub max_body_bytes: u64,
    /// Maximum size of a request's head: its first line and its header.
    pub max_header_bytes: u64,
    /// Maximum time until a request has been received.
    pub read_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        Self {
            max_connections: 3_000,
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            read_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        }
    }
}

fn default_far_factor_percent() -> u64 {
    100
}

impl GatewaySettings {
    /// Parses the settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, SettingsError> {
        load::parse(file, text, KEYS, |_, _| Vec::new())
    }

    /// Applies the settings that can change while the process runs.
    ///
    /// Returns the names of the other settings that differ; these take effect at the next start.
    pub fn apply_reloadable(&mut self, newer: &Self) -> Vec<&'static str> {
        self.seed_peers.clone_from(&newer.seed_peers);
        self.drain_timeout_ms = newer.drain_timeout_ms;
        self.limits.clone_from(&newer.limits);
        load::differing_keys(KEYS, self, newer)
    }
}
