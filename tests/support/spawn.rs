//! Writes settings files and starts entries, agents and targets with them.

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
        self.settings_file_count += 1;
        let name = format!("settings-{}.toml", self.settings_file_count);
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        path
    }

    /// Starts an entry and returns its index in `entries`.
    pub fn add_entry(&mut self) -> usize {
        let entry = self.spawn_entry();
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry whose peers reach it through a relay, and returns its index in `entries`.
    pub fn add_entry_behind_relay(&mut self) -> usize {
        let entry = self.spawn_entry_with(Some(Relay::start()), "");
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry without adding it to `entries`.
    pub fn spawn_entry(&mut self) -> Entry {
        self.spawn_entry_with(None, "")
    }

    /// Starts an entry with additional settings, behind a relay if one is given, without adding it
    /// to `entries`.
    pub fn spawn_entry_with(&mut self, relay: Option<Relay>, extra_settings: &str) -> Entry {
        let seeds = quoted(self.entries.iter().map(|entry| entry.peer_address));
        let settings = format!(
            "listen_address = \"{ip}:0\"\npeer_address = \"{ip}:0\"\n{advertised}\
             failure_domain = \"domain-{}\"\nregion = \"test\"\n\
             platform_addresses = [\"{}\"]\nseed_peers = [{seeds}]\n\
             drain_timeout_ms = 20000\n{extra_settings}",
            self.settings_file_count,
            self.platform_address,
            advertised = advertised(relay.as_ref()),
            ip = self.ip,
        );
        let path = self.settings_file(&settings);
        let mut process = Process::spawn(
            Command::new(self.entry_build.programs().entry)
                .args(["serve", "--settings"])
                .arg(path),
            false,
        );
        let line = process.wait_for_line("serves callers on ");
        let bound = address_after(&line, "processes on ");
        if let Some(relay) = &relay {
            relay.set_upstream(bound);
        }
        Entry {
            callers_address: address_after(&line, "serves callers on "),
            peer_address: relay.as_ref().map_or(bound, |relay| relay.address),
            process,
            relay,
            is_paused: false,
        }
    }

    /// Starts an agent with a target and returns its index in `hosts`.
    pub fn add_host(&mut self, firm: Firm) -> usize {
        let host = self.spawn_host(firm, None);
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    /// Starts an agent that entries reach through a relay, and returns its index in `hosts`.
    pub fn add_host_behind_relay(&mut self, firm: Firm) -> usize {
        let host = self.spawn_host(firm, Some(Relay::start()));
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    /// Restarts an agent at the same addresses, as a new incarnation.
    pub fn restart_agent(&mut self, position: usize) {
        let host = &self.hosts[position];
        let (announce, peers) = (host.announce_address, host.bound_peer_address);
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
        let live = self.entries.iter().map(|entry| entry.peer_address);
        let settings = format!(
            "announce_address = \"{announce}\"\npeer_address = \"{peers}\"\n{advertised}\
             failure_domain = \"domain-{}\"\nentries = [{}]\ndrain_timeout_ms = 20000\n",
            self.settings_file_count,
            quoted(live)
        );
        let path = self.settings_file(&settings);
        let mut agent = Process::spawn(
            Command::new(self.agent_build.programs().agent)
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
        let (agent, announce_address, bound_peer_address) =
            self.spawn_agent(any, any, &advertised(relay.as_ref()));
        if let Some(relay) = &relay {
            relay.set_upstream(bound_peer_address);
        }
        let target_name = format!("target-{}", self.settings_file_count);
        let mut target = spawn_target(firm, &target_name, announce_address);
        let line = target.wait_for_line("listening on ");
        Host {
            agent,
            announce_address,
            bound_peer_address,
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
