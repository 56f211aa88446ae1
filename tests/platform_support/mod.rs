//! Starts an entry and an agent on the users' platform, as processes, against its stand-ins.

#![allow(dead_code, reason = "each test file uses only some items")]

#[path = "../support/mod.rs"]
pub mod support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use platform_standins::{SharedLedger, TargetServer, TargetSettings};
use serde_json::Value;
use support::{Build, Process, call, wait_until};
use web::{HeaderValue, Method, Request, Response};

/// Host name of the queue used in the tests.
pub const HOST: &str = "callers.example";

/// Path prefix of the queue used in the tests.
pub const PREFIX: &str = "/q/";

/// Pool of the targets.
pub const GROUP: &str = "pool";

/// A running entry with its settings file.
pub struct Entry {
    pub process: Process,
    pub settings: PathBuf,
    pub text: String,
    callers: SocketAddr,
    pub peer_address: SocketAddr,
    pub readiness: SocketAddr,
}

/// Returns a loopback address with a port that is free at the time of the call.
pub fn free_address() -> SocketAddr {
    platform_standins::free_address().expect("a port")
}

fn spawn(program: &Path, command: &str, settings: &Path, text: &str) -> Process {
    std::fs::write(settings, text).expect("the file is written");
    let mut process = Command::new(program);
    process.arg(command).arg("--settings").arg(settings);
    let mut process = Process::spawn(&mut process, true);
    process.wait_for_line("\"started\"");
    process
}

/// Starts an entry that logs at the given level.
pub fn start_entry(folder: &Path, store: SocketAddr, level: &str) -> Entry {
    start_entry_with(folder, store, level, "")
}

/// Starts an entry with more lines of settings.
pub fn start_entry_with(folder: &Path, store: SocketAddr, level: &str, more: &str) -> Entry {
    start_entry_at(folder, store, free_address(), level, more)
}

/// Returns a line of settings with seeds.
pub fn seeds_setting(seeds: &[SocketAddr]) -> String {
    let quoted = seeds.iter().map(|address| format!("\"{address}\""));
    let list = quoted.collect::<Vec<String>>().join(", ");
    format!("seed_peers = [{list}]\n")
}

/// Starts an entry at an address for its peers, with more lines of settings.
pub fn start_entry_at(
    folder: &Path,
    store: SocketAddr,
    peer_address: SocketAddr,
    level: &str,
    more: &str,
) -> Entry {
    start_entry_of(Build::Current, folder, store, peer_address, level, more)
}

/// Starts an entry of a build at an address for its peers, with more lines of settings.
pub fn start_entry_of(
    build: Build,
    folder: &Path,
    store: SocketAddr,
    peer_address: SocketAddr,
    level: &str,
    more: &str,
) -> Entry {
    let callers = free_address();
    let readiness = free_address();
    let text = format!(
        "name = \"entry\"\nfailure_domain = \"domain\"\ncallers_address = \"{callers}\"\n\
         readiness_address = \"{readiness}\"\npeer_address = \"{peer_address}\"\n\
         store_address = \"{store}\"\n{more}\
         log = {{ format = \"json\", level = \"{level}\" }}\n",
    );
    let settings = folder.join(format!("entry-{}.toml", peer_address.port()));
    let program = build.programs().entry;
    Entry {
        process: spawn(&program, "gateway", &settings, &text),
        settings,
        text,
        callers,
        peer_address,
        readiness,
    }
}

/// Starts a target with eight cores that reports to an address.
pub fn start_target(reports_address: SocketAddr, ledger: &SharedLedger) -> TargetServer {
    let settings = TargetSettings {
        number: 0,
        group: GROUP.to_owned(),
        cpu_millis: 8_000,
        reports_address,
    };
    TargetServer::start(settings, ledger.clone()).expect("a target")
}

/// Waits for a line without blocking the stand-ins, and returns it.
pub async fn line_of(process: &mut Process, text: &str) -> String {
    let mut line = None;
    wait_until(text, async || {
        line = process.find_line(text);
        line.is_some()
    })
    .await;
    line.unwrap_or_default()
}

/// Starts an agent for a target.
pub fn start_agent(
    folder: &Path,
    store: SocketAddr,
    target: SocketAddr,
    reports: SocketAddr,
    level: &str,
) -> Process {
    start_agent_with(folder, store, target, reports, level, "")
}

/// Starts an agent with more lines of settings.
pub fn start_agent_with(
    folder: &Path,
    store: SocketAddr,
    target: SocketAddr,
    reports: SocketAddr,
    level: &str,
    more: &str,
) -> Process {
    write_agent_settings(folder, store, target, reports, level, more);
    restart_agent(folder)
}

/// Writes the settings with which [] and [] start an agent.
pub fn write_agent_settings(
    folder: &Path,
    store: SocketAddr,
    target: SocketAddr,
    reports: SocketAddr,
    level: &str,
    more: &str,
) {
    let text = format!(
        "name = \"host\"\nfailure_domain = \"domain\"\ntarget_address = \"{target}\"\n\
         reports_address = \"{reports}\"\npeer_address = \"{}\"\nstore_address = \"{store}\"\n\
         {more}\
         log = {{ format = \"json\", level = \"{level}\" }}\n",
        free_address(),
    );
    std::fs::write(folder.join("agent.toml"), text).expect("the file is written");
}

/// Starts an agent with the settings of the last one.
pub fn restart_agent(folder: &Path) -> Process {
    restart_agent_of(Build::Current, folder)
}

/// Starts an agent of a build with the settings of the last one.
pub fn restart_agent_of(build: Build, folder: &Path) -> Process {
    let settings = folder.join("agent.toml");
    let text = std::fs::read_to_string(&settings).expect("the file is read");
    let program = build.programs().agent;
    spawn(&program, "sidecar", &settings, &text)
}

impl Entry {
    /// Overwrites the settings file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.settings, text).expect("the file is written");
    }

    /// Submits a job and returns the status of the response, if any.
    pub async fn status_of(&self, id: &str, body: &Value) -> Option<u16> {
        self.submit(id, body).await.map(|response| response.status)
    }

    /// Requests the length of the queue with this path prefix and returns the status of the
    /// response, if any.
    pub async fn queue_status(&self, prefix: &str) -> Option<u16> {
        let mut request = Request::new(Method::GET, prefix);
        let host = HeaderValue::from_static(HOST);
        request.headers.insert("host", host);
        let response = call(self.callers, &request).await;
        response.map(|response| response.status)
    }

    /// Submits a job and returns the response, if any.
    pub async fn submit(&self, id: &str, body: &Value) -> Option<Response> {
        let mut request = Request::post_json(format!("{PREFIX}{id}"), body);
        request.method = Method::POST;
        let host = HeaderValue::from_static(HOST);
        request.headers.insert("host", host);
        let id = HeaderValue::from_str(&format!("request-{id}")).expect("a header");
        request.headers.insert("request-id", id);
        call(self.callers, &request).await
    }
}
