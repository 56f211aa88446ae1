//! The system under measurement: a stand-in for the platform, entries, agents and stand-ins for
//! targets, all as processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;
use tempfile::TempDir;

use crate::BenchResult;
use crate::client::entry_state;
use crate::process::{OutputStream, Process, address_after, program_path};

/// Timeout for the system to become ready, in microseconds.
const READY_TIMEOUT_US: u64 = 30_000_000;

/// Firm of all jobs.
pub const FIRM: &str = "vembanad";

/// Group of all targets.
pub const GROUP: &str = "escort";

/// Token with which the firm submits jobs.
pub const FIRM_TOKEN: &str = "vembanad-token-0001";

/// Token for the operators' calls.
pub const OPERATOR_TOKEN: &str = "operators-token-0001";

const CONFIGURATION: &str = r#"
[operators]
tokens = ["operators-token-0001"]

[firms.vembanad]
tokens = ["vembanad-token-0001"]
quota_tasks = 1000000
max_queue_tasks = 1000000

[groups.escort]
firms = ["vembanad"]
"#;

/// An entry and its addresses.
pub struct Entry {
    /// Process of the entry.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other entries and agents.
    peers: SocketAddr,
}

/// An agent and the target on the same host.
pub struct Host {
    /// Process of the agent.
    pub agent: Process,
    /// Address of the agent to which the target announces itself; also serves the state.
    pub announce: SocketAddr,
    /// Process of the target.
    pub target: Process,
    /// Address on which the target is invoked.
    pub target_address: SocketAddr,
}

/// Size of a system.
#[derive(Debug, Clone, Copy)]
pub struct SystemSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one target.
    pub agents: usize,
    /// Number of tasks that a target runs at the same time.
    pub slots: u16,
}

/// A running system; its processes are killed when it is dropped.
pub struct System {
    /// Entries in the order of their start.
    pub entries: Vec<Entry>,
    /// Hosts in the order of their start.
    pub hosts: Vec<Host>,
    folder: TempDir,
    platform_address: SocketAddr,
    _platform: Process,
}

impl System {
    /// Publishes the configuration and starts the processes, without waiting until they are ready.
    pub fn start(size: SystemSize) -> BenchResult<Self> {
        let mut command = Command::new(program_path("examples/platform")?);
        command.args(["--listen", "127.0.0.1:0"]);
        let marker = "listening on ";
        let (platform, line) = Process::start(&mut command, OutputStream::Stdout, marker)?;
        let mut system = Self {
            entries: Vec::new(),
            hosts: Vec::new(),
            folder: TempDir::new()?,
            platform_address: address_after(&line, marker)?,
            _platform: platform,
        };
        system.publish_configuration()?;
        for _ in 0..size.entries {
            system.add_entry()?;
        }
        for number in 0..size.agents {
            system.add_host(number, size.slots)?;
        }
        Ok(system)
    }

    fn publish_configuration(&self) -> BenchResult<()> {
        let folder = self.folder.path().join("config");
        fs::create_dir(&folder)?;
        fs::write(folder.join("10-base.toml"), CONFIGURATION)?;
        let mut command = Command::new(program_path("shallotcross")?);
        command.arg("publish").arg(&folder);
        command.args(["--platform", &self.platform_address.to_string()]);
        let output = command.args(["--editor", "bench"]).output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(String::from_utf8_lossy(&output.stderr).into_owned().into())
    }

    /// Writes a settings file and returns its path.
    fn write_settings(&self, name: &str, text: &str) -> BenchResult<PathBuf> {
        let path = self.folder.path().join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    fn add_entry(&mut self) -> BenchResult<()> {
        let number = self.entries.len();
        let settings = format!(
            "listen_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{number}\"\nplatform_addresses = [\"{}\"]\n\
             seed_peers = [{}]\n",
            self.platform_address,
            self.peer_list()
        );
        let path = self.write_settings(&format!("entry-{number}.toml"), &settings)?;
        let mut command = Command::new(program_path("shallotcross")?);
        command.args(["serve", "--settings"]).arg(path);
        let marker = "serves callers on ";
        let (process, line) = Process::start(&mut command, OutputStream::Stderr, marker)?;
        self.entries.push(Entry {
            process,
            callers: address_after(&line, marker)?,
            peers: address_after(&line, "processes on ")?,
        });
        Ok(())
    }

    /// Returns the peer addresses of the started entries as items of a TOML array.
    fn peer_list(&self) -> String {
        let quoted = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peers));
        quoted.collect::<Vec<_>>().join(", ")
    }

    fn add_host(&mut self, number: usize, slots: u16) -> BenchResult<()> {
        let settings = format!(
            "announce_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{}\"\nentries = [{}]\n",
            number % 4,
            self.peer_list()
        );
        let path = self.write_settings(&format!("agent-{number}.toml"), &settings)?;
        let mut command = Command::new(program_path("shallotcross-agent")?);
        command.arg("--settings").arg(path);
        let marker = "listens for targets on ";
        let (agent, line) = Process::start(&mut command, OutputStream::Stderr, marker)?;
        let announce = address_after(&line, marker)?;
        let (target, target_address) = start_target(number, slots, announce)?;
        self.hosts.push(Host {
            agent,
            announce,
            target,
            target_address,
        });
        Ok(())
    }

    /// Waits until an entry serves the shard with unexpired authority and every agent has answered
    /// its fence; returns the index of that entry, the owner.
    pub async fn wait_until_ready(&self) -> BenchResult<usize> {
        let until_us = monotonic_us() + READY_TIMEOUT_US;
        while monotonic_us() < until_us {
            for (position, entry) in self.entries.iter().enumerate() {
                let state = entry_state(entry.callers).await.unwrap_or(Value::Null);
                if self.is_ready(&state) {
                    return Ok(position);
                }
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("the system was not ready in time".into())
    }

    fn is_ready(&self, state: &Value) -> bool {
        let shards = state["decisions"]["shards"].as_array();
        shards.into_iter().flatten().any(|shard| {
            shard["phase"] == "serving"
                && shard["authority_left_us"].as_u64() > Some(0)
                && shard["fenced"].as_u64() >= Some(self.hosts.len() as u64)
        })
    }

    /// Returns the process ids of the agents.
    pub fn agent_process_ids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.agent.id()).collect()
    }

    /// Returns the process ids of the targets.
    pub fn target_process_ids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.target.id()).collect()
    }
}

fn start_target(
    number: usize,
    slots: u16,
    announce: SocketAddr,
) -> BenchResult<(Process, SocketAddr)> {
    let mut command = Command::new(program_path("examples/target")?);
    command.args(["--listen", "127.0.0.1:0", "--group", GROUP, "--firm", FIRM]);
    command.args(["--name", &format!("target-{number}")]);
    command.args(["--announce-to", &announce.to_string()]);
    command.args(["--slots", &slots.to_string(), "--connections", "64"]);
    let marker = "listening on ";
    let (process, line) = Process::start(&mut command, OutputStream::Stdout, marker)?;
    Ok((process, address_after(&line, marker)?))
}
