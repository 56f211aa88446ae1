//! A small deployment: the store, entries, and hosts with an agent and an executor each.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, Lateness, Settings};
use crate::http::{self, Message, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Interval after which a client sends a job again, `resendIntervalMs`.
pub const RESEND_INTERVAL_MS: u64 = 1_300;

/// A queue of the configuration.
#[derive(Debug, Clone)]
pub struct Queue {
    pub host: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
}

pub const QUEUE: Queue = Queue {
    host: "nony24.example",
    prefix: "/lohu930/",
    service: "huvo11a",
};

/// Ids of the processes that were started and have not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started, when the case ends before its deployment does.
pub fn end_processes() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let id = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    _process: Process,
}

pub struct Rig {
    pub record: Arc<Record>,
    pub entries: Vec<Entry>,
    pub executors: Vec<Executor>,
    _agents: Vec<Process>,
    _store_server: Server,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a free address of a machine, which has a loopback address of its own.
pub fn free_address(machine: u8) -> io::Result<SocketAddr> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, machine));
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Returns the configuration of the operator.
fn configuration(queues: &[Queue]) -> Json {
    let route = |(number, queue): (usize, &Queue)| {
        Json::object([
            ("name", format!("r-{number}").into()),
            ("host", queue.host.into()),
            ("prefix", queue.prefix.into()),
            ("kind", "non_idempotent".into()),
            ("timeoutMs", 20_000.into()),
            ("targetDurationMs", 60.into()),
            ("priority", 0.into()),
            ("service", queue.service.into()),
            ("maxAttempts", 3.into()),
            ("stretch", Json::Number(1.6)),
        ])
    };
    let service = |queue: &Queue| {
        Json::object([
            ("name", queue.service.into()),
            ("healthPath", "/health".into()),
            ("maxConnections", 64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("enforcesCapacity", true.into()),
            ("spare", false.into()),
        ])
    };
    let limits = Json::object([
        ("maxHeaderBytes", 16_384.into()),
        ("maxBodyBytes", 262_144.into()),
        ("headerTimeoutMs", 3_000.into()),
        ("idleTimeoutMs", 15_000.into()),
    ]);
    Json::object([
        ("version", 7.into()),
        ("routes", Json::List(queues.iter().enumerate().map(route).collect())),
        ("services", Json::List(queues.iter().map(service).collect())),
        ("limits", limits),
    ])
}

/// Starts a program with the command of the deploy file.
fn spawn(folder: &Path, name: &str, command: &str, settings: &str) -> io::Result<Process> {
    let path = folder.join(format!("{name}.toml"));
    fs::write(&path, settings)?;
    let log = fs::File::create(folder.join(format!("{name}.log")))?;
    let mut words = command.split(' ');
    let child = Command::new(words.next().unwrap_or_default())
        .args(words)
        .env("SHALLOTCROSS_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(Process { child })
}

impl Rig {
    /// Starts a deployment with hosts of the given services, and waits until its entries are ready.
    pub fn start(
        entry_count: usize,
        services: &[&str],
        queues: &[Queue],
        lateness: Lateness,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::new());
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let store_server = store.serve(free_address(1)?)?;
        store.put("op/config", &configuration(queues).to_string());
        let peers = (0..entry_count).map(|number| free_address(10 + number as u8));
        let peers: Vec<SocketAddr> = peers.collect::<io::Result<_>>()?;
        let quoted = peers.iter().map(|peer| format!("\"{peer}\""));
        let seeds = quoted.collect::<Vec<String>>().join(",");
        let mut rig = Self {
            record: Arc::clone(&record),
            entries: Vec::new(),
            executors: Vec::new(),
            _agents: Vec::new(),
            _store_server: store_server,
            folder: folder.clone(),
        };
        let store_address = rig._store_server.address;
        for (number, peer) in peers.iter().enumerate() {
            let machine = 10 + number as u8;
            let name = format!("frontend-{}", number + 1);
            let (callers, readiness) = (free_address(machine)?, free_address(machine)?);
            let settings = format!(
                "name = \"{name}\"\nfailure_domain = \"zone-a\"\n\
                 callers_address = \"{callers}\"\nreadiness_address = \"{readiness}\"\n\
                 peer_address = \"{peer}\"\nmetrics_address = \"{}\"\n\
                 store_address = \"{store_address}\"\nseed_peers = [{seeds}]\n\
                 drain_timeout_ms = 5500\n[log]\nformat = \"json\"\n",
                free_address(machine)?,
            );
            let command = "target/release/shallotcross gateway";
            rig.entries.push(Entry {
                _process: spawn(&folder, &name, command, &settings)?,
                name,
                callers,
                readiness,
            });
        }
        for (number, service) in services.iter().enumerate() {
            let machine = 100 + number as u8;
            let name = format!("side-{}", number + 1);
            let (target, reports) = (free_address(machine)?, free_address(machine)?);
            let settings = Settings {
                id: format!("i-{}", number + 1),
                service: (*service).to_owned(),
                zone: "zone-a".to_owned(),
                address: target,
                reports,
                cpu: 8_000,
                kind: if number % 2 == 0 { "a" } else { "b" },
            };
            let executor =
                Executor::new(number, settings, Arc::clone(&record), Arc::clone(&lateness));
            executor.start()?;
            rig.executors.push(executor);
            let settings = format!(
                "name = \"{name}\"\nfailure_domain = \"zone-a\"\n\
                 target_address = \"{target}\"\nreports_address = \"{reports}\"\n\
                 peer_address = \"{}\"\nmetrics_address = \"{}\"\n\
                 store_address = \"{store_address}\"\nseed_peers = [{seeds}]\n\
                 drain_timeout_ms = 5000\n[log]\nformat = \"json\"\n",
                free_address(machine)?,
                free_address(machine)?,
            );
            let command = "target/release/shallotcross-agent sidecar";
            rig._agents.push(spawn(&folder, &name, command, &settings)?);
        }
        rig.wait_until_ready()?;
        Ok(rig)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        let text = http::request("GET", "/readiness", "x", &[], "");
        let is_ready = |entry: &Entry| {
            http::call(entry.readiness, &text, Duration::from_secs(1))
                .is_ok_and(|response| response.status() == 200)
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the entries did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Until every entry follows every host, and the platform's balancer has noticed.
        thread::sleep(Duration::from_secs(3));
        self.record.line("the deployment is ready");
        Ok(())
    }
}

/// Returns a job of a chain of steps, each with `count` tasks that work for `work_ms`.
pub fn job(work_ms: u64, estimate_ms: u64, steps: usize, count: u64) -> String {
    job_for_kind("", work_ms, estimate_ms, steps, count)
}

/// Returns a job as [`job`] does whose tasks require a label, if that isn't empty.
pub fn job_for_kind(
    kind: &str,
    work_ms: u64,
    estimate_ms: u64,
    steps: usize,
    count: u64,
) -> String {
    let step = |number: usize| {
        let mut after = Vec::new();
        if number > 0 {
            after.push(Json::from((number - 1) as u64));
        }
        Json::object([
            ("count", count.into()),
            ("cpu", 1_000.into()),
            ("memoryRequestMb", 64.into()),
            ("estimatedMs", estimate_ms.into()),
            ("requirements", kind.into()),
            ("after", Json::List(after)),
        ])
    };
    let job = Json::object([
        ("specification", work_ms.to_string().into()),
        ("bestEffort", true.into()),
        ("steps", Json::List((0..steps).map(step).collect())),
    ]);
    job.to_string()
}

/// Sends a job or a request about it, and records the answer.
pub fn send(
    record: &Record,
    entry: &Entry,
    queue: &Queue,
    method: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<Message> {
    send_to(record, (&entry.name, entry.callers), queue, method, id, deadline_ms, body)
}

/// Sends as [`send`] does, to an address that leads to the entry of this name.
pub fn send_to(
    record: &Record,
    (name, address): (&str, SocketAddr),
    queue: &Queue,
    method: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<Message> {
    let path = format!("{}{id}", queue.prefix);
    let deadline = deadline_ms.to_string();
    let headers = [("deadline-ms", deadline.as_str())];
    let text = http::request(method, &path, queue.host, &headers, body);
    record.line(format!("client sends {method} {id} to {}", name));
    let result = http::call(address, &text, Duration::from_millis(deadline_ms));
    match &result {
        Ok(response) => record.line(format!(
            "client gets {} {} for {method} {id} from {}",
            response.status(),
            response.body,
            name
        )),
        Err(error) => record.line(format!(
            "client gets no answer for {method} {id} from {}: {error}",
            name
        )),
    }
    result
}

/// Returns whether a client sends a job again after this result.
pub fn is_sent_again(result: &io::Result<Message>) -> bool {
    match result {
        Ok(response) => matches!(response.status(), 502 | 504),
        Err(_) => true,
    }
}
