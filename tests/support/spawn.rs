//! Starts entries, agents and targets with their settings.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use super::Firm;
use super::process::{Process, address_after, example};
use super::relay::Relay;
use super::system::{Entry, Host, System};

impl System {
    fn settings_file(&mut self, text: &str) -> PathBuf {
        self.started += 1;
        let name = format!("settings-{}.toml", self.started);
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        path
    }

    /// Starts an entry and returns its position.
    pub fn add_entry(&mut self) -> usize {
        let entry = self.spawn_entry();
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry that others reach through a relay, and returns its position.
    pub fn add_entry_behind_relay(&mut self) -> usize {
        let entry = self.spawn_entry_with(Some(Relay::start()), "");
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry that is not listed.
    pub fn spawn_entry(&mut self) -> Entry {
        self.spawn_entry_with(None, "")
    }

    /// Starts an entry with more settings, maybe behind a relay.
    pub fn spawn_entry_with(&mut self, relay: Option<Relay>, more: &str) -> Entry {
        let seeds = quoted(self.entries.iter().map(|entry| entry.peers));
        let settings = format!(
            "listen_address = \"{ip}:0\"\npeer_address = \"{ip}:0\"\n{advertised}\
             failure_domain = \"domain-{}\"\nregion = \"test\"\n\
             platform_addresses = [\"{}\"]\nseed_peers = [{seeds}]\n\
             drain_timeout_ms = 20000\n{more}",
            self.started,
            self.platform_address,
            advertised = advertised(relay.as_ref()),
            ip = self.ip,
        );
        let path = self.settings_file(&settings);
        let mut process = Process::spawn(
            Command::new(env!("CARGO_BIN_EXE_shallotcross"))
                .args(["serve", "--settings"])
                .arg(path),
            false,
        );
        let line = process.wait_for_line("serves callers on ");
        let bound = address_after(&line, "processes on ");
        if let Some(relay) = &relay {
            relay.lead_to(bound);
        }
        Entry {
            callers: address_after(&line, "serves callers on "),
            peers: relay.as_ref().map_or(bound, |relay| relay.address),
            process,
            relay,
            paused: false,
        }
    }

    /// Starts an agent with a target and returns its position.
    pub fn add_host(&mut self, firm: Firm) -> usize {
        let host = self.spawn_host(firm, None);
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    /// Starts an agent that entries reach through a relay, and returns its position.
    pub fn add_host_behind_relay(&mut self, firm: Firm) -> usize {
        let host = self.spawn_host(firm, Some(Relay::start()));
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    /// Starts a new incarnation of an agent at the addresses of the earlier one.
    pub fn restart_agent(&mut self, position: usize) {
        let host = &self.hosts[position];
        let (announce, peers) = (host.announce, host.bound_peers);
        let advertised = advertised(host.relay.as_ref());
        let (agent, ..) = self.spawn_agent(announce, peers, &advertised);
        self.hosts[position].agent = agent;
    }

    fn spawn_agent(
        &mut self,
        announce: SocketAddr,
        peers: SocketAddr,
        advertised: &str,
    ) -> (Process, SocketAddr, SocketAddr) {
        let live = self.entries.iter().map(|entry| entry.peers);
        let settings = format!(
            "announce_address = \"{announce}\"\npeer_address = \"{peers}\"\n{advertised}\
             failure_domain = \"domain-{}\"\nentries = [{}]\ndrain_timeout_ms = 20000\n",
            self.started,
            quoted(live)
        );
        let path = self.settings_file(&settings);
        let mut agent = Process::spawn(
            Command::new(env!("CARGO_BIN_EXE_shallotcross-agent"))
                .arg("--settings")
                .arg(path),
            false,
        );
        let line = agent.wait_for_line("listens for targets on ");
        let announce = address_after(&line, "listens for targets on ");
        let peers = address_after(&line, "serves entries on ");
        (agent, announce, peers)
    }

    fn spawn_host(&mut self, firm: Firm, relay: Option<Relay>) -> Host {
        let any = SocketAddr::new(self.ip, 0);
        let (agent, announce, bound_peers) =
            self.spawn_agent(any, any, &advertised(relay.as_ref()));
        if let Some(relay) = &relay {
            relay.lead_to(bound_peers);
        }
        let target_name = format!("target-{}", self.started);
        let mut target = spawn_target(firm, &target_name, announce);
        let line = target.wait_for_line("listening on ");
        Host {
            agent,
            announce,
            bound_peers,
            relay,
            target_address: address_after(&line, "listening on "),
            target,
            target_name,
            firm,
        }
    }
}

fn spawn_target(firm: Firm, name: &str, announce: SocketAddr) -> Process {
    Process::spawn(
        Command::new(example("target")).args([
            "--listen",
            "127.0.0.1:0",
            "--announce-to",
            &announce.to_string(),
            "--name",
            name,
            "--group",
            firm.group,
            "--firm",
            firm.name,
            "--slots",
            "4",
            "--connections",
            "16",
        ]),
        true,
    )
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted: Vec<String> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted.join(", ")
}

fn advertised(relay: Option<&Relay>) -> String {
    relay.map_or_else(String::new, |relay| {
        format!("advertised_peer_address = \"{}\"\n", relay.address)
    })
}
