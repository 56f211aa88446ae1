//! Settings of an agent on the users' platform.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::load::{self, SettingsError};
use super::log::{self, LogSettings};
use crate::schema::{Key, Kind};

const KEYS: &[Key] = &[
    Key::required("name", Kind::Text),
    Key::required("failure_domain", Kind::Text),
    Key::required("target_address", Kind::Address),
    Key::required("reports_address", Kind::Address),
    Key::required("peer_address", Kind::Address),
    Key::optional("relayed_target", Kind::Boolean),
    Key::optional("advertised_peer_address", Kind::Address),
    Key::optional("metrics_address", Kind::Address),
    Key::required("store_address", Kind::Address),
    Key::optional("seed_peers", Kind::Addresses { min_count: 0 }),
    Key::optional_integer("drain_timeout_ms", 0, 600_000),
    Key::optional_integer("evacuation_bound_ms", 2_000, 600_000),
    Key::optional("separate_interfering_tasks", Kind::Boolean),
    Key::optional("log", Kind::Table(log::KEYS)),
];

/// Settings of an agent on the users' platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarSettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address of the target on the same host.
    pub target_address: SocketAddr,
    /// Whether something between the agent and the target may refuse connections in its place, such as a
    /// relay or a packet filter; if absent, [`Self::may_refusals_be_foreign`] tells.
    #[serde(default)]
    pub relayed_target: Option<bool>,
    /// Address to which the target sends its reports.
    pub reports_address: SocketAddr,
    /// Address that entries connect to.
    pub peer_address: SocketAddr,
    /// Address at which entries on other hosts reach `peer_address`, if it differs.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address that serves the metrics; absent if they are not served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// Addresses of entries to announce the host to while it is not registered in the store.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum duration of a planned stop.
    #[serde(default = "load::default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Time after which nothing may start any more in a failure domain that the operator has
    /// evacuated; absent if evacuations are not followed.
    #[serde(default)]
    pub evacuation_bound_ms: Option<u64>,
    /// Whether kinds of task that slow each other down on one host are detected and kept apart.
    #[serde(default)]
    pub separate_interfering_tasks: bool,
    /// Format and levels of the log.
    #[serde(default)]
    pub log: LogSettings,
}

impl SidecarSettings {
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
        load::differing_keys(KEYS, self, newer)
    }

    /// Returns whether a refused connection may not be the word of the host that the target runs on: if
    /// the target is relayed, or else if its address is neither a loopback address nor the agent's own.
    #[must_use]
    pub fn may_refusals_be_foreign(&self) -> bool {
        let target = self.target_address.ip();
        let is_local = target.is_loopback() || target == self.advertised_peer_address().ip();
        self.relayed_target.unwrap_or(!is_local)
    }

    /// Returns the address that entries connect to.
    #[must_use]
    pub fn advertised_peer_address(&self) -> SocketAddr {
        self.advertised_peer_address.unwrap_or(self.peer_address)
    }
}
