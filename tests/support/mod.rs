//! Starts the programs and the stand-ins as processes of their own.

#![allow(dead_code, reason = "each test program uses its own part")]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use runtime::{monotonic_us, unix_ms};
use serde_json::{Value, json};
use tempfile::TempDir;
use web::{Client, HeaderValue, Method, Request, Response};

/// Bound on every wait; reached only if the awaited event never comes.
const WAIT_US: u64 = 30_000_000;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Token of the operators.
pub const OPERATORS_TOKEN: &str = "operators-token-0001";

/// A firm with its group and its token.
#[derive(Debug, Clone, Copy)]
pub struct Firm {
    pub name: &'static str,
    pub group: &'static str,
    pub token: &'static str,
}

pub const VEMBANAD: Firm = Firm {
    name: "vembanad",
    group: "escort",
    token: "vembanad-token-0001",
};

pub const CONSORCIO: Firm = Firm {
    name: "consorcio",
    group: "agenda",
    token: "consorcio-token-0001",
};

/// A process that is killed when the test is over.
pub struct Process {
    pub child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    fn spawn(command: &mut Command, from_stdout: bool) -> Self {
        command.stdin(Stdio::null());
        if from_stdout {
            command.stdout(Stdio::piped()).stderr(Stdio::null());
        } else {
            command.stdout(Stdio::null()).stderr(Stdio::piped());
        }
        let mut child = command.spawn().expect("the program starts");
        let output: Box<dyn std::io::Read + Send> = if from_stdout {
            Box::new(child.stdout.take().expect("stdout is piped"))
        } else {
            Box::new(child.stderr.take().expect("stderr is piped"))
        };
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if std::env::var_os("SHALLOTCROSS_TEST_LOG").is_some() {
                    eprintln!("{line}");
                }
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Waits for a line that contains the text and returns it.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        if let Some(line) = self.seen.iter().find(|line| line.contains(text)) {
            return line.clone();
        }
        loop {
            let line = self
                .lines
                .recv_timeout(Duration::from_micros(WAIT_US))
                .unwrap_or_else(|_| panic!("no line with {text:?} in {:?}", self.seen));
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, for instance `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_for_end(&mut self) -> std::process::ExitStatus {
        let until_us = monotonic_us() + WAIT_US;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(monotonic_us() < until_us, "the process does not end");
            thread::sleep(LOOK);
        }
    }

    /// Counts the threads of the process.
    pub fn thread_count(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.id()))
            .expect("the process lives")
            .count()
    }

    /// Lists what the process's file descriptors refer to.
    pub fn open_files(&self) -> Vec<String> {
        fs::read_dir(format!("/proc/{}/fd", self.id()))
            .expect("the process lives")
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|path| path.display().to_string())
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process is killed as well.
        self.kill();
    }
}

fn example(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let profile = test
        .parent()
        .and_then(Path::parent)
        .expect("the test lies in deps");
    profile.join("examples").join(name)
}

fn address_after(line: &str, text: &str) -> SocketAddr {
    let start = line.find(text).expect("the text is there") + text.len();
    let rest = &line[start..];
    let end = rest.find([' ', ',']).unwrap_or(rest.len());
    let address = rest[..end].trim_end_matches('.');
    address.parse().expect("an address follows")
}

/// An entry with its addresses.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
}

/// An agent with the target beside it.
pub struct Host {
    pub agent: Process,
    pub announce: SocketAddr,
    pub target: Process,
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
    started: usize,
}

impl System {
    /// Starts a platform with a published configuration, and nothing else.
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
            started: 0,
        };
        system.publish("10-base.toml", &base_configuration());
        system
    }

    /// Starts the system with entries and hosts of both firms.
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

    /// Writes a file of the operators' folder and publishes the folder.
    pub fn publish(&self, file: &str, text: &str) {
        let folder = self.folder.path().join("config");
        fs::create_dir_all(&folder).expect("the folder can be made");
        fs::write(folder.join(file), text).expect("the file can be written");
        let output = Command::new(env!("CARGO_BIN_EXE_shallotcross"))
            .arg("publish")
            .arg(&folder)
            .args(["--platform", &self.platform_address.to_string()])
            .args(["--editor", "test"])
            .output()
            .expect("publish runs");
        assert!(
            output.status.success(),
            "publish failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    fn settings_file(&mut self, text: &str) -> PathBuf {
        self.started += 1;
        let path = self
            .folder
            .path()
            .join(format!("settings-{}.toml", self.started));
        fs::write(&path, text).expect("the file can be written");
        path
    }

    /// Starts an entry and returns its position.
    pub fn add_entry(&mut self) -> usize {
        let entry = self.spawn_entry();
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry that is not listed.
    pub fn spawn_entry(&mut self) -> Entry {
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peers))
            .collect();
        let settings = format!(
            "listen_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{}\"\nregion = \"test\"\n\
             platform_addresses = [\"{}\"]\nseed_peers = [{}]\ndrain_timeout_ms = 20000\n",
            self.started,
            self.platform_address,
            seeds.join(", ")
        );
        let path = self.settings_file(&settings);
        let mut process = Process::spawn(
            Command::new(env!("CARGO_BIN_EXE_shallotcross"))
                .args(["serve", "--settings"])
                .arg(path),
            false,
        );
        let line = process.wait_for_line("serves callers on ");
        Entry {
            callers: address_after(&line, "serves callers on "),
            peers: address_after(&line, "processes on "),
            process,
        }
    }

    /// Starts an agent with a target and returns its position.
    pub fn add_host(&mut self, firm: Firm) -> usize {
        let host = self.spawn_host(firm);
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    fn spawn_host(&mut self, firm: Firm) -> Host {
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peers))
            .collect();
        let settings = format!(
            "announce_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             failure_domain = \"domain-{}\"\nentries = [{}]\ndrain_timeout_ms = 20000\n",
            self.started,
            entries.join(", ")
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
        let name = format!("target-{}", self.started);
        let mut target = Process::spawn(
            Command::new(example("target")).args([
                "--listen",
                "127.0.0.1:0",
                "--announce-to",
                &announce.to_string(),
                "--name",
                &name,
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
        );
        let line = target.wait_for_line("listening on ");
        Host {
            agent,
            announce,
            target_address: address_after(&line, "listening on "),
            target,
            firm,
        }
    }

    /// Waits until an entry serves a firm with the given number of agents.
    pub async fn wait_until_served(&self, firm: Firm, agents: usize) {
        let key = model::FirmKey::from_name(firm.name);
        self.wait_until_key_served(key, agents).await;
    }

    /// Waits until an entry serves a firm or a team with the given number of agents.
    pub async fn wait_until_key_served(&self, key: model::FirmKey, agents: usize) {
        let key = key.to_string();
        let entries: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.callers).collect();
        wait_until("a shard serves with its agents", async || {
            for entry in &entries {
                let state = get_state(*entry).await;
                let shards = state["decisions"]["shards"].as_array().cloned();
                let served = shards.unwrap_or_default().iter().any(|shard| {
                    shard["shard"].as_str().unwrap_or("").starts_with(&key)
                        && shard["phase"] == "serving"
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

    /// Returns the position of the entry that owns a firm's first shard.
    pub async fn owner_of(&self, firm: Firm) -> Option<usize> {
        let key = model::FirmKey::from_name(firm.name).to_string();
        for (position, entry) in self.entries.iter().enumerate() {
            let state = get_state(entry.callers).await;
            let shards = state["decisions"]["shards"].as_array().cloned();
            let owns = shards
                .unwrap_or_default()
                .iter()
                .any(|shard| shard["shard"].as_str().unwrap_or("").starts_with(&key));
            if owns {
                return Some(position);
            }
        }
        None
    }

    /// Returns all starts at the targets of a firm, and those that came twice.
    pub async fn starts(&self, firm: Firm) -> (Vec<Value>, Vec<Value>) {
        let mut starts = Vec::new();
        let mut doubled = Vec::new();
        for host in self.hosts.iter().filter(|host| host.firm.name == firm.name) {
            let request = Request::new(Method::GET, "/standin/starts");
            let found = call(host.target_address, &request).await;
            let found: Value = found.expect("the target answers").parse().expect("JSON");
            starts.extend(found["starts"].as_array().cloned().unwrap_or_default());
            doubled.extend(found["doubled"].as_array().cloned().unwrap_or_default());
        }
        (starts, doubled)
    }
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

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let until_us = monotonic_us() + WAIT_US;
    while !condition().await {
        assert!(monotonic_us() < until_us, "never came true: {what}");
        monoio::time::sleep(LOOK).await;
    }
}

/// Sends a request; returns nothing if there is no response.
pub async fn call(address: SocketAddr, request: &Request) -> Option<Response> {
    let client = Client::new(address, 1);
    client
        .call(request, Duration::from_micros(WAIT_US))
        .await
        .ok()
}

/// Adds a bearer token to a request.
pub fn with_token(mut request: Request, token: &str) -> Request {
    let value = HeaderValue::try_from(format!("Bearer {token}")).expect("the token is ASCII");
    request
        .headers
        .insert(web::HeaderName::from_static("authorization"), value);
    request
}

/// Returns an entry's whole state, or null if it does not answer.
pub async fn get_state(entry: SocketAddr) -> Value {
    let request = Request::new(Method::GET, "/admin/v1/state");
    let response = call(entry, &with_token(request, OPERATORS_TOKEN)).await;
    response
        .filter(|response| response.status == 200)
        .and_then(|response| response.parse().ok())
        .unwrap_or(Value::Null)
}

/// A job's body with tasks of the given run times in milliseconds.
pub fn job(firm: Firm, run_ms: &[u64], deadline_in_ms: u64) -> Value {
    let now_unix_ms = unix_ms();
    let tasks: Vec<Value> = run_ms
        .iter()
        .enumerate()
        .map(|(index, run_ms)| {
            json!({
                "kind": "check",
                "declared_ms": run_ms,
                "payload": { "run_ms": run_ms, "index": index },
            })
        })
        .collect();
    json!({
        "group": firm.group,
        "submitted_unix_ms": now_unix_ms,
        "deadline_unix_ms": now_unix_ms + deadline_in_ms,
        "tasks": tasks,
    })
}

/// Submits a job and returns status and body; nothing if the connection broke.
pub async fn submit(
    entry: SocketAddr,
    firm: Firm,
    id: &str,
    job: &Value,
) -> Option<(u16, Value, Response)> {
    let mut request = Request::post_json(format!("/v1/jobs/{id}"), job);
    request.method = Method::PUT;
    let response = call(entry, &with_token(request, firm.token)).await?;
    let body = response.parse().unwrap_or(Value::Null);
    Some((response.status, body, response))
}
