//! The components of the demonstration, each on its own ports.

use std::net::SocketAddr;
use std::time::Duration;

use agent::AgentProcess;
use config::{AgentSettings, EntrySettings};
use entry::EntryProcess;
use errors::{Error, ExitCode, Result};
use model::FirmKey;
use monoio::task::JoinHandle;
use platform::PlatformClient;
use runtime::StopSignal;
use serde_json::Value;
use standins::{PlatformStandin, TargetStandin};

use super::failure;
use super::firm::{FIRMS, Firm};

/// Failure domains of the entries, with one entry in each.
const ENTRY_FAILURE_DOMAINS: [&str; 2] = ["kerala-1", "guatemala-1"];

/// Timeout until every firm is served by both of its agents.
const READY_TIMEOUT_MS: u64 = 20_000;

/// Interval between checks of a condition.
const POLL_INTERVAL_MS: u64 = 20;

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

/// A running entry.
pub(super) struct Entry {
    /// Address for callers.
    pub(super) listen_address: SocketAddr,
    /// Address for other processes.
    pub(super) peer_address: SocketAddr,
    state: Box<dyn Fn() -> Value>,
}

/// A running agent and its target.
pub(super) struct Host {
    /// The firm that the target serves.
    pub(super) firm: &'static Firm,
    /// Address of the agent to which the target announces itself.
    pub(super) announce_address: SocketAddr,
    /// The target.
    pub(super) target: TargetStandin,
}

/// All components of the demonstration.
pub(super) struct System {
    /// The platform.
    pub(super) platform: PlatformStandin,
    /// The entries.
    pub(super) entries: Vec<Entry>,
    /// The hosts of both firms.
    pub(super) hosts: Vec<Host>,
    drain: StopSignal,
    servers: Vec<JoinHandle<()>>,
}

impl System {
    /// Starts every component.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub(super) async fn start() -> Result<Self> {
        let platform = PlatformStandin::builder(([127, 0, 0, 1], 0).into()).start();
        let mut system = Self {
            platform: platform.await.map_err(|error| listen_error(&error))?,
            entries: Vec::new(),
            hosts: Vec::new(),
            drain: StopSignal::new(),
            servers: Vec::new(),
        };
        for failure_domain in ENTRY_FAILURE_DOMAINS {
            system.add_entry(failure_domain)?;
        }
        for firm in FIRMS {
            for failure_domain in firm.failure_domains {
                system.add_host(firm, failure_domain).await?;
            }
        }
        Ok(system)
    }

    /// Returns a client of the platform.
    pub(super) fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(vec![self.platform.address()], PLATFORM_TIMEOUT_MS)
    }

    /// Waits until each firm's shard is served by both of its agents.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`READY_TIMEOUT_MS`].
    pub(super) async fn wait_until_ready(&self) -> Result<()> {
        let timeout_unix_ms = runtime::unix_ms() + READY_TIMEOUT_MS;
        while !FIRMS.iter().all(|firm| self.is_served(firm)) {
            if runtime::unix_ms() >= timeout_unix_ms {
                let message = format!("the firms are not served after {READY_TIMEOUT_MS} ms");
                return Err(failure(message));
            }
            monoio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Ok(())
    }

    /// Returns the number of tasks that the firm's targets have started.
    pub(super) fn start_count(&self, firm: &Firm) -> usize {
        let hosts = self.hosts.iter().filter(|host| host.firm.name == firm.name);
        hosts.map(|host| host.target.starts().starts.len()).sum()
    }

    /// Drains entries and agents, then stops the stand-ins.
    pub(super) async fn stop(self) {
        self.drain.stop();
        for server in self.servers {
            server.await;
        }
        for host in self.hosts {
            host.target.stop_without_departure().await;
        }
        self.platform.stop().await;
    }

    fn add_entry(&mut self, failure_domain: &str) -> Result<()> {
        let seed_peers = quoted(self.entries.iter().map(|entry| entry.peer_address));
        let settings = format!(
            "listen_address = \"{LOOPBACK_ANY_PORT}\"\npeer_address = \"{LOOPBACK_ANY_PORT}\"\n\
             failure_domain = \"{failure_domain}\"\n\
             platform_addresses = [\"{}\"]\nseed_peers = [{seed_peers}]\n",
            self.platform.address()
        );
        let process = EntryProcess::bind(EntrySettings::from_toml("demo", &settings)?)?;
        self.entries.push(Entry {
            listen_address: process.listen_address(),
            peer_address: process.peer_address(),
            state: Box::new(process.state_reporter()),
        });
        self.servers
            .push(monoio::spawn(process.run(self.drain.clone())));
        Ok(())
    }

    async fn add_host(&mut self, firm: &'static Firm, failure_domain: &str) -> Result<()> {
        let entries = quoted(self.entries.iter().map(|entry| entry.peer_address));
        let settings = format!(
            "announce_address = \"{LOOPBACK_ANY_PORT}\"\npeer_address = \"{LOOPBACK_ANY_PORT}\"\n\
             failure_domain = \"{failure_domain}\"\nentries = [{entries}]\n"
        );
        let process = AgentProcess::bind(AgentSettings::from_toml("demo", &settings)?)?;
        let announce_address = process.announce_address();
        self.servers
            .push(monoio::spawn(process.run(self.drain.clone())));
        let target = TargetStandin::builder(([127, 0, 0, 1], 0).into())
            .name(format!("{}-{failure_domain}", firm.group))
            .group(firm.group)
            .firm(firm.name)
            .announce_to(announce_address)
            .start();
        self.hosts.push(Host {
            firm,
            announce_address,
            target: target.await.map_err(|error| listen_error(&error))?,
        });
        Ok(())
    }

    fn is_served(&self, firm: &Firm) -> bool {
        let is_configured = |state: &Value| state["config_revision"] != 0;
        let states: Vec<Value> = self.entries.iter().map(|entry| (entry.state)()).collect();
        states.iter().all(is_configured) && states.iter().any(|state| serves(state, firm))
    }
}

/// Returns whether an entry's state shows that it serves the firm's shard with all its agents.
fn serves(state: &Value, firm: &Firm) -> bool {
    let firm_key = FirmKey::from_name(firm.name).to_string();
    let agent_count = firm.failure_domains.len() as u64;
    let shards = state["decisions"]["shards"].as_array();
    shards.into_iter().flatten().any(|shard| {
        let shard_key = shard["shard"].as_str();
        shard_key.is_some_and(|key| key.starts_with(&firm_key))
            && shard["phase"] == "serving"
            && shard["authority_left_us"].as_u64() > Some(0)
            && shard["fenced"].as_u64() >= Some(agent_count)
    })
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted: Vec<String> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted.join(", ")
}

fn listen_error(error: &std::io::Error) -> Error {
    Error::new(
        ExitCode::Unavailable,
        format!("cannot listen on loopback: {error}"),
    )
    .with_remedy("allow this process to listen on 127.0.0.1")
}
