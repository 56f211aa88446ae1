//! The parts of the demonstration, each on a port of its own.

use std::net::SocketAddr;
use std::time::Duration;

use agent::AgentProcess;
use config::{AgentSettings, EntrySettings};
use entry::EntryProcess;
use errors::{Error, ExitCode, Result};
use model::FirmKey;
use monoio::task::JoinHandle;
use platform::Platform;
use runtime::Stop;
use serde_json::Value;
use standins::{PlatformStandin, TargetStandin};

use super::failure;
use super::firm::{FIRMS, Firm};

/// Failure domains of the entries, one entry each.
const ENTRY_FAILURE_DOMAINS: [&str; 2] = ["kerala-1", "guatemala-1"];

/// Longest time until all parts know each other, in milliseconds.
const READY_TIMEOUT_MS: u64 = 20_000;

/// Pause between two looks at a condition, in milliseconds.
const LOOK_PAUSE_MS: u64 = 20;

/// Longest time for one call to the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

const ANY_PORT: &str = "127.0.0.1:0";

/// A running entry.
pub(super) struct Entry {
    /// Address for callers.
    pub(super) listen_address: SocketAddr,
    /// Address for other processes.
    pub(super) peer_address: SocketAddr,
    state: Box<dyn Fn() -> Value>,
}

/// A running agent with the target beside it.
pub(super) struct Host {
    /// The firm that the target serves.
    pub(super) firm: &'static Firm,
    /// Address that the target announces itself to.
    pub(super) announce_address: SocketAddr,
    /// The target.
    pub(super) target: TargetStandin,
}

/// All parts of the demonstration.
pub(super) struct System {
    /// The platform.
    pub(super) platform: PlatformStandin,
    /// The entries.
    pub(super) entries: Vec<Entry>,
    /// The hosts of both firms.
    pub(super) hosts: Vec<Host>,
    drain: Stop,
    running: Vec<JoinHandle<()>>,
}

impl System {
    /// Starts every part.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub(super) async fn start() -> Result<Self> {
        let platform = PlatformStandin::builder(([127, 0, 0, 1], 0).into()).start();
        let mut system = Self {
            platform: platform.await.map_err(|error| no_port(&error))?,
            entries: Vec::new(),
            hosts: Vec::new(),
            drain: Stop::new(),
            running: Vec::new(),
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
    pub(super) fn platform_client(&self) -> Platform {
        Platform::new(vec![self.platform.address()], PLATFORM_TIMEOUT_MS)
    }

    /// Waits until each firm's shard is served, with both of its agents.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub(super) async fn wait_until_ready(&self) -> Result<()> {
        let until_unix_ms = runtime::unix_ms() + READY_TIMEOUT_MS;
        while !FIRMS.iter().all(|firm| self.is_served(firm)) {
            if runtime::unix_ms() >= until_unix_ms {
                let message = format!("the parts did not find each other in {READY_TIMEOUT_MS} ms");
                return Err(failure(message));
            }
            monoio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
        }
        Ok(())
    }

    /// Returns the number of tasks that the firm's targets have started.
    pub(super) fn start_count(&self, firm: &Firm) -> usize {
        let hosts = self.hosts.iter().filter(|host| host.firm.name == firm.name);
        hosts.map(|host| host.target.starts().starts.len()).sum()
    }

    /// Drains the entries and agents, and stops the stand-ins.
    pub(super) async fn stop(self) {
        self.drain.stop();
        for running in self.running {
            running.await;
        }
        for host in self.hosts {
            host.target.stop_silently().await;
        }
        self.platform.stop().await;
    }

    fn add_entry(&mut self, failure_domain: &str) -> Result<()> {
        let seed_peers = quoted(self.entries.iter().map(|entry| entry.peer_address));
        let settings = format!(
            "listen_address = \"{ANY_PORT}\"\npeer_address = \"{ANY_PORT}\"\n\
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
        self.running
            .push(monoio::spawn(process.run(self.drain.clone())));
        Ok(())
    }

    async fn add_host(&mut self, firm: &'static Firm, failure_domain: &str) -> Result<()> {
        let entries = quoted(self.entries.iter().map(|entry| entry.peer_address));
        let settings = format!(
            "announce_address = \"{ANY_PORT}\"\npeer_address = \"{ANY_PORT}\"\n\
             failure_domain = \"{failure_domain}\"\nentries = [{entries}]\n"
        );
        let process = AgentProcess::bind(AgentSettings::from_toml("demo", &settings)?)?;
        let announce_address = process.announce_address();
        self.running
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
            target: target.await.map_err(|error| no_port(&error))?,
        });
        Ok(())
    }

    fn is_served(&self, firm: &Firm) -> bool {
        let in_force = |state: &Value| state["config_revision"] != 0;
        let states: Vec<Value> = self.entries.iter().map(|entry| (entry.state)()).collect();
        states.iter().all(in_force) && states.iter().any(|state| serves(state, firm))
    }
}

/// Tells whether the entry of this state serves the firm's shard with the firm's agents.
fn serves(state: &Value, firm: &Firm) -> bool {
    let firm_key = FirmKey::from_name(firm.name).to_string();
    let agent_count = firm.failure_domains.len() as u64;
    let shards = state["decisions"]["shards"].as_array();
    shards.into_iter().flatten().any(|shard| {
        let of_firm = shard["shard"].as_str();
        of_firm.is_some_and(|key| key.starts_with(&firm_key))
            && shard["phase"] == "serving"
            && shard["authority_left_us"].as_u64() > Some(0)
            && shard["fenced"].as_u64() >= Some(agent_count)
    })
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted: Vec<String> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted.join(", ")
}

fn no_port(error: &std::io::Error) -> Error {
    Error::new(
        ExitCode::Unavailable,
        format!("no port on loopback: {error}"),
    )
    .with_remedy("allow this process to listen on 127.0.0.1")
}
