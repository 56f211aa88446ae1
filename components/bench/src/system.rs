//! The system under measurement: a platform, entries, agents and targets as processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;
use tempfile::TempDir;

use crate::Outcome;
use crate::client::get_state;
use crate::process::{Output, Process, address_after, program};

/// Bound on the wait for the system to be ready, in microseconds.
const READY_US: u64 = 30_000_000;

/// Firm of all jobs.
pub const FIRM: &str = "vembanad";

/// Group of all targets.
pub const GROUP: &str = "escort";

/// Token of the firm.
pub const TOKEN: &str = "vembanad-token-0001";

/// Token of the operators.
pub const OPERATORS_TOKEN: &str = "operators-token-0001";

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

/// An entry with its addresses.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    peers: SocketAddr,
}

/// An agent with the target beside it.
pub struct Host {
    pub agent: Process,
    pub announce: SocketAddr,
    pub target: Process,
    pub target_address: SocketAddr,
}

/// How large the system is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: usize,
    pub agents: usize,
    pub slots: u16,
}

/// A running system.
pub struct System {
    pub entries: Vec<Entry>,
    pub hosts: Vec<Host>,
    folder: TempDir,
    platform_address: SocketAddr,
    _platform: Process,
}

impl System {
    /// Starts the processes.
    pub fn start(size: Size) -> Outcome<Self> {
        let mut command = Command::new(program("examples/platform")?);
        command.args(["--listen", "127.0.0.1:0"]);
        let marker = "listening on ";
        let (platform, line) = Process::start(&mut command, Output::Stdout, marker)?;
        let mut system = Self {
            entries: Vec::new(),
            hosts: Vec::new(),
            folder: TempDir::new()?,
            platform_address: address_after(&line, marker)?,
            _platform: platform,
        };
        system.publish()?;
        for _ in 0..size.entries {
            system.add_entry()?;
        }
        for number in 0..size.agents {
            system.add_host(number, size.slots)?;
        }
        Ok(system)
    }

    fn publish(&self) -> Outcome<()> {
        let folder = self.folder.path().join("config");
        fs::create_dir(&folder)?;
        fs::write(folder.join("10-base.toml"), CONFIGURATION)?;
        let mut command = Command::new(program("shallotcross")?);
        command.arg("publish").arg(&folder);
        command.args(["--platform", &self.platform_address.to_string()]);
        let output = command.args(["--editor", "bench"]).output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(String::from_utf8_lossy(&output.stderr).into_owned().into())
    }

    fn settings_file(&self, name: &str, text: &str) -> Outcome<PathBuf> {
        let path = self.folder.path().join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    fn add_entry(&mut self) -> Outcome<()> {
        let number = self.entries.len();
        let settings = format!(
            "listen_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{number}\"\nplatform_addresses = [\"{}\"]\n\
             seed_peers = [{}]\n",
            self.platform_address,
            self.peer_list()
        );
        let path = self.settings_file(&format!("entry-{number}.toml"), &settings)?;
        let mut command = Command::new(program("shallotcross")?);
        command.args(["serve", "--settings"]).arg(path);
        let marker = "serves callers on ";
        let (process, line) = Process::start(&mut command, Output::Stderr, marker)?;
        self.entries.push(Entry {
            process,
            callers: address_after(&line, marker)?,
            peers: address_after(&line, "processes on ")?,
        });
        Ok(())
    }

    fn peer_list(&self) -> String {
        let quoted = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peers));
        quoted.collect::<Vec<_>>().join(", ")
    }

    fn add_host(&mut self, number: usize, slots: u16) -> Outcome<()> {
        let settings = format!(
            "announce_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{}\"\nentries = [{}]\n",
            number % 4,
            self.peer_list()
        );
        let path = self.settings_file(&format!("agent-{number}.toml"), &settings)?;
        let mut command = Command::new(program("shallotcross-agent")?);
        command.arg("--settings").arg(path);
        let marker = "listens for targets on ";
        let (agent, line) = Process::start(&mut command, Output::Stderr, marker)?;
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

    /// Waits until the owner has authority and every agent is fenced; returns the owner's
    /// position.
    pub async fn wait_until_served(&self) -> Outcome<usize> {
        let until_us = monotonic_us() + READY_US;
        while monotonic_us() < until_us {
            for (position, entry) in self.entries.iter().enumerate() {
                let state = get_state(entry.callers).await.unwrap_or(Value::Null);
                if self.is_served(&state) {
                    return Ok(position);
                }
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("the system is not ready in time".into())
    }

    fn is_served(&self, state: &Value) -> bool {
        let shards = state["decisions"]["shards"].as_array();
        shards.into_iter().flatten().any(|shard| {
            shard["phase"] == "serving"
                && shard["authority_left_us"].as_u64() > Some(0)
                && shard["fenced"].as_u64() >= Some(self.hosts.len() as u64)
        })
    }

    /// Returns the ids of the agents.
    pub fn agent_ids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.agent.id()).collect()
    }

    /// Returns the ids of the targets.
    pub fn target_ids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.target.id()).collect()
    }
}

fn start_target(number: usize, slots: u16, announce: SocketAddr) -> Outcome<(Process, SocketAddr)> {
    let mut command = Command::new(program("examples/target")?);
    command.args(["--listen", "127.0.0.1:0", "--group", GROUP, "--firm", FIRM]);
    command.args(["--name", &format!("target-{number}")]);
    command.args(["--announce-to", &announce.to_string()]);
    command.args(["--slots", &slots.to_string(), "--connections", "64"]);
    let marker = "listening on ";
    let (process, line) = Process::start(&mut command, Output::Stdout, marker)?;
    Ok((process, address_after(&line, marker)?))
}
