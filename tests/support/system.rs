//! Runs the whole system as processes on loopback.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use platform::PlatformClient;
use serde_json::Value;
use tempfile::TempDir;
use web::{Method, Request};

use super::build::Build;
use super::process::{Process, address_after, example};
use super::relay::Relay;
use super::{CONSORCIO, Firm, OPERATORS_TOKEN, VEMBANAD, call, get_state, wait_until};

/// A running entry with its addresses.
pub struct Entry {
    pub process: Process,
    pub callers_address: SocketAddr,
    /// Address that other processes use: that of the relay, if there is one.
    pub peer_address: SocketAddr,
    pub relay: Option<Relay>,
    /// Whether SIGSTOP has stopped the process, so that it does not respond.
    pub is_paused: bool,
}

/// A running agent with its target.
pub struct Host {
    pub agent: Process,
    pub announce_address: SocketAddr,
    /// Address on which the agent listens for entries, behind the relay if there is one.
    pub bound_peer_address: SocketAddr,
    pub relay: Option<Relay>,
    pub target: Process,
    pub target_name: String,
    pub target_address: SocketAddr,
    pub firm: Firm,
}

/// The whole system as processes on loopback.
pub struct System {
    pub folder: TempDir,
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub entries: Vec<Entry>,
    pub hosts: Vec<Host>,
    /// Build of the entries that are started next.
    pub entry_build: Build,
    /// Build of the agents that are started next.
    pub agent_build: Build,
    pub(super) ip: IpAddr,
    pub(super) settings_file_count: usize,
}

impl System {
    /// Starts the platform stand-in and publishes the base configuration.
    pub fn new() -> Self {
        let folder = TempDir::new().expect("a folder can be made");
        let mut platform = Process::spawn(
            Command::new(example("platform")).args(["--listen", "127.0.0.1:0"]),
            true,
        );
        let line = platform.wait_for_line("listening on ");
        let system = Self {
            platform_address: address_after(&line, "listening on "),
            folder,
            platform,
            entries: Vec::new(),
            hosts: Vec::new(),
            entry_build: Build::default(),
            agent_build: Build::default(),
            ip: next_ip(),
            settings_file_count: 0,
        };
        system.publish("10-base.toml", &base_configuration());
        system
    }

    /// Starts the system with entries, and with hosts for both firms.
    pub fn start(entries: usize, hosts_per_firm: usize) -> Self {
        let mut system = Self::new();
        for _ in 0..entries {
            system.add_entry();
        }
        for _ in 0..hosts_per_firm {
            system.add_host(VEMBANAD);
            system.add_host(CONSORCIO);
        }
        system
    }

    /// Starts the system and waits until both firms are served.
    pub async fn start_serving(entries: usize, hosts_per_firm: usize) -> Self {
        let system = Self::start(entries, hosts_per_firm);
        for firm in [VEMBANAD, CONSORCIO] {
            system.wait_until_served(firm, hosts_per_firm).await;
        }
        system
    }

    /// Writes a file of the operators' folder and publishes the folder; panics if that fails.
    pub fn publish(&self, file: &str, text: &str) {
        let output = self.try_publish(file, text);
        assert!(
            output.status.success(),
            "publish failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Writes a file of the operators' folder, runs `shallotcross publish` and returns its output.
    pub fn try_publish(&self, file: &str, text: &str) -> Output {
        let folder = self.folder.path().join("config");
        fs::create_dir_all(&folder).expect("the folder can be made");
        fs::write(folder.join(file), text).expect("the file can be written");
        Command::new(self.entry_build.programs().entry)
            .arg("publish")
            .arg(&folder)
            .args(["--platform", &self.platform_address.to_string()])
            .args(["--editor", "test"])
            .output()
            .expect("publish runs")
    }

    /// Returns the revision of the published configuration.
    pub async fn config_revision(&self) -> u64 {
        let platform = PlatformClient::new(vec![self.platform_address], 2_000);
        let read = platform.get(config::CONFIG_KEY).await;
        let stored = read.expect("the platform answers");
        stored.expect("a configuration is published").mod_revision
    }

    /// Sets the faults that the platform stand-in injects.
    pub async fn set_platform_faults(&self, faults: &Value) {
        let request = Request::post_json("/standin/faults", faults);
        let response = call(self.platform_address, &request).await;
        assert_eq!(response.expect("the stand-in answers").status, 200);
    }

    /// Expires every lease, at once or as soon as the platform stand-in is reachable again.
    pub async fn expire_leases(&self) {
        let request = Request::new(Method::POST, "/standin/lapse-leases");
        let response = call(self.platform_address, &request).await;
        assert_eq!(response.expect("the stand-in answers").status, 204);
    }

    /// Returns the counters of the platform stand-in.
    pub async fn platform_stats(&self) -> Value {
        let request = Request::new(Method::GET, "/standin/stats");
        let response = call(self.platform_address, &request).await;
        let response = response.expect("the stand-in answers");
        response.parse().expect("JSON")
    }

    /// Waits until an entry serves a firm with the given number of agents.
    pub async fn wait_until_served(&self, firm: Firm, agents: usize) {
        wait_until("the shard is served with all its agents", async || {
            for entry in self.entries.iter().filter(|entry| !entry.is_paused) {
                let state = get_state(entry.callers_address).await;
                let served = shards_of(&state, firm).iter().any(|shard| {
                    shard["phase"] == "serving"
                        && shard["authority_left_us"].as_u64() > Some(0)
                        && shard["fenced"].as_u64() >= Some(agents as u64)
                });
                if served {
                    return true;
                }
            }
            false
        })
        .await;
    }

    /// Returns the index of the entry that owns a firm's shard: the one with the newest generation.
    pub async fn owner_of(&self, firm: Firm) -> Option<usize> {
        let mut newest = None;
        for (position, entry) in self.entries.iter().enumerate() {
            if entry.is_paused {
                continue;
            }
            let state = get_state(entry.callers_address).await;
            for shard in shards_of(&state, firm) {
                newest = newest.max(Some((shard["generation"].as_u64(), position)));
            }
        }
        newest.map(|(_, position)| position)
    }

    /// Waits until an entry other than `earlier` owns and serves a firm's shard; returns its index.
    pub async fn wait_for_other_owner(&self, firm: Firm, earlier: usize) -> usize {
        let mut owner = earlier;
        wait_until("another entry serves the shard", async || {
            let Some(position) = self.owner_of(firm).await else {
                return false;
            };
            owner = position;
            position != earlier && {
                let state = get_state(self.entries[position].callers_address).await;
                let shards = shards_of(&state, firm);
                !shards.is_empty() && shards.iter().all(|shard| shard["phase"] == "serving")
            }
        })
        .await;
        owner
    }

    /// Returns the task starts at the targets of a firm, and the tasks that a target started twice.
    pub async fn starts(&self, firm: Firm) -> (Vec<Value>, Vec<Value>) {
        let mut starts = Vec::new();
        let mut duplicates = Vec::new();
        for host in self.hosts.iter().filter(|host| host.firm.name == firm.name) {
            let found = host.starts().await;
            starts.extend(found["starts"].as_array().cloned().unwrap_or_default());
            duplicates.extend(found["doubled"].as_array().cloned().unwrap_or_default());
        }
        (starts, duplicates)
    }
}

impl Entry {
    /// Stops the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.process.signal("STOP");
        self.is_paused = true;
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) {
        self.process.signal("CONT");
        self.is_paused = false;
    }
}

impl Host {
    /// Returns the task starts that the target recorded.
    pub async fn starts(&self) -> Value {
        let request = Request::new(Method::GET, "/standin/starts");
        let found = call(self.target_address, &request).await;
        found.expect("the target answers").parse().expect("JSON")
    }

    /// Makes the target announce its departure to the agent; running tasks continue.
    pub async fn leave(&self) {
        let request = Request::new(Method::POST, "/standin/leave");
        let response = call(self.target_address, &request).await;
        assert_eq!(response.expect("the target answers").status, 204);
    }

    /// Returns the number of task starts at the target.
    pub async fn start_count(&self) -> usize {
        let starts = self.starts().await;
        starts["starts"].as_array().map_or(0, Vec::len)
    }

    /// Waits until every slot of the target runs a task, so that further tasks are queued.
    pub async fn wait_until_busy(&self) {
        wait_until(
            "the agent runs as many tasks as there are slots",
            async || {
                let state = self.agent_state().await;
                let decisions = &state["decisions"];
                decisions["running"].as_u64() > Some(0)
                    && decisions["running"] == decisions["slots"]
            },
        )
        .await;
    }

    /// Returns the agent's state, or null if it does not respond.
    pub async fn agent_state(&self) -> Value {
        let request = Request::new(Method::GET, "/v1/state");
        let response = call(self.announce_address, &request).await;
        let parsed = response.and_then(|response| response.parse().ok());
        parsed.unwrap_or(Value::Null)
    }
}

/// Returns the shards of a firm in the state of an entry.
pub fn shards_of(state: &Value, firm: Firm) -> Vec<Value> {
    let key = model::FirmKey::from_name(firm.name).to_string();
    let shards = state["decisions"]["shards"].as_array();
    let of_firm = |shard: &&Value| shard["shard"].as_str().unwrap_or("").starts_with(&key);
    shards.map_or_else(Vec::new, |shards| {
        shards.iter().filter(of_firm).cloned().collect()
    })
}

/// Returns a loopback address that only this system uses, so that no other process takes a port
/// while a process that listens on it restarts.
fn next_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = std::process::id() * 64 + NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 0x80, middle, low))
}

fn base_configuration() -> String {
    let firm = |firm: &Firm| {
        format!(
            "[firms.{}]\ntokens = [\"{}\"]\n\n[groups.{}]\nfirms = [\"{}\"]\n\n",
            firm.name, firm.token, firm.group, firm.name
        )
    };
    format!(
        "[operators]\ntokens = [\"{OPERATORS_TOKEN}\"]\n\n{}{}",
        firm(&VEMBANAD),
        firm(&CONSORCIO)
    )
}
