//! Stand-ins of the platform, of executors and of clients, and the project's programs as processes.

pub mod executor;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use json::{Json, num, obj, text};
use record::Record;

/// Time after which a client sends a job again (`resendIntervalMs`).
pub const RESEND_MS: u64 = 1_300;

pub const HOST: &str = "callers.example";

/// Returns an address whose port is free, from below the range that the system gives to connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..10_000 {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 37;
        let address = SocketAddr::from(([127, 0, 0, 1], 18_000 + (number % 12_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    eprintln!("no port is free");
    std::process::exit(2);
}

/// A process of the project; it is killed when the value is dropped.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The folder of a case: settings and logs lie in a temporary folder, the record in the case's.
pub struct Case {
    pub record: Arc<Record>,
    pub has_trouble: bool,
    folder: PathBuf,
    root: PathBuf,
}

impl Case {
    /// Reads the arguments `ROOT RECORD TEMPORARY` and the variable `TROUBLE`.
    pub fn from_arguments() -> Case {
        let arguments: Vec<String> = std::env::args().collect();
        let [_, root, record, folder] = arguments.as_slice() else {
            eprintln!("usage: CASE ROOT RECORD TEMPORARY");
            std::process::exit(2);
        };
        let record = match Record::create(record) {
            Ok(record) => record,
            Err(error) => {
                eprintln!("the record cannot be written: {error}");
                std::process::exit(2);
            }
        };
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("trouble: {}", u8::from(has_trouble)));
        Case {
            record: Arc::new(record),
            has_trouble,
            folder: PathBuf::from(folder),
            root: PathBuf::from(root),
        }
    }

    fn spawn(&self, program: &str, command: &str, name: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("settings are written");
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(Path::new("target/release").join(program))
            .arg(command)
            .current_dir(&self.root)
            .env("SHALLOTCROSS_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.note_process(child.id());
                self.record
                    .line(&format!("{program} {command} started as {name}"));
                Process { child }
            }
            Err(error) => {
                eprintln!("{program} cannot be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Notes a process for `run.sh`, which ends it if the script is stopped before it does so itself.
    fn note_process(&self, process: u32) {
        let path = self.folder.join("processes");
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path);
        let _ = file.and_then(|mut file| writeln!(file, "{process}"));
    }

    /// Starts `shallotcross gateway` with the settings that `platform/gateway.toml` gives.
    pub fn gateway(
        &self,
        name: &str,
        entry: &Entry,
        store: SocketAddr,
        seeds: &[Entry],
    ) -> Process {
        let settings = format!(
            "name = \"{name}\"\nfailure_domain = \"kochi-a\"\ncallers_address = \"{}\"\n\
             readiness_address = \"{}\"\npeer_address = \"{}\"\nmetrics_address = \"{}\"\n\
             store_address = \"{store}\"\nseed_peers = {}\ndrain_timeout_ms = 5500\n\
             [log]\nformat = \"json\"\n",
            entry.callers,
            entry.readiness,
            entry.control,
            free_address(),
            seed_list(seeds),
        );
        self.spawn("shallotcross", "gateway", name, &settings)
    }

    /// Starts `shallotcross-agent sidecar` with the settings that `platform/sidecar.toml` gives.
    pub fn sidecar(
        &self,
        name: &str,
        target: SocketAddr,
        reports: SocketAddr,
        store: SocketAddr,
        seeds: &[Entry],
    ) -> Process {
        let settings = format!(
            "name = \"{name}\"\nfailure_domain = \"kochi-a\"\ntarget_address = \"{target}\"\n\
             reports_address = \"{reports}\"\npeer_address = \"{}\"\nmetrics_address = \"{}\"\n\
             store_address = \"{store}\"\nseed_peers = {}\ndrain_timeout_ms = 5000\n\
             [log]\nformat = \"json\"\n",
            free_address(),
            free_address(),
            seed_list(seeds),
        );
        self.spawn("shallotcross-agent", "sidecar", name, &settings)
    }

    /// Waits until the entry is ready, or ends the script with 2.
    pub fn wait_until_ready(&self, entry: &Entry) {
        for _ in 0..200 {
            let limit = Duration::from_millis(500);
            let response = http::call(entry.readiness, "GET", "/readiness", &[], b"", limit);
            if response.is_some_and(|response| response.status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        eprintln!("an entry does not become ready");
        std::process::exit(2);
    }
}

fn seed_list(seeds: &[Entry]) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|at| format!("\"{}\"", at.control))
        .collect();
    format!("[{}]", seeds.join(", "))
}

/// Addresses of an entry.
#[derive(Clone)]
pub struct Entry {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
}

impl Entry {
    pub fn new() -> Entry {
        Entry {
            callers: free_address(),
            readiness: free_address(),
            control: free_address(),
        }
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, service: &str, timeout_ms: u64) -> Json {
    route_with_target(name, prefix, service, timeout_ms, 60)
}

/// A route whose jobs may take `target_ms` in addition to `stretch` times their work.
pub fn route_with_target(
    name: &str,
    prefix: &str,
    service: &str,
    timeout_ms: u64,
    target_ms: u64,
) -> Json {
    obj(vec![
        ("name", text(name)),
        ("host", text(HOST)),
        ("prefix", text(prefix)),
        ("timeoutMs", num(timeout_ms)),
        ("targetDurationMs", num(target_ms)),
        ("priority", num(0)),
        ("service", text(service)),
        ("maxAttempts", num(3)),
        ("stretch", Json::Num(1.6)),
    ])
}

pub fn configuration(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let services = services.iter().map(|name| {
        obj(vec![
            ("name", text(name)),
            ("enforcesCapacity", Json::Bool(true)),
        ])
    });
    obj(vec![
        ("version", num(version)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(services.collect())),
        ("limits", obj(vec![])),
    ])
}

/// A step of tasks that take `work_ms` on `cpu` thousandths of a core.
pub fn step(count: u64, cpu: u64, work_ms: u64, after: &[u64]) -> Json {
    let mut fields = vec![
        ("count", num(count)),
        ("cpu", num(cpu)),
        ("memoryRequestMb", num(64)),
        ("estimatedMs", num(work_ms)),
    ];
    if !after.is_empty() {
        fields.push((
            "after",
            Json::Arr(after.iter().map(|at| num(*at)).collect()),
        ));
    }
    obj(fields)
}

/// A job that needs not be stored; its specification tells the executor what a task takes.
pub fn job(work_ms: u64, cpu: u64, steps: Vec<Json>) -> Json {
    obj(vec![
        ("specification", text(&format!("{work_ms} {cpu} 64"))),
        ("bestEffort", Json::Bool(true)),
        ("steps", Json::Arr(steps)),
    ])
}

/// Sends one request of a client and records it with its answer.
pub fn request(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Option<http::Response> {
    record.line(&format!("client sends {method} {path} to {entry}"));
    let deadline = deadline_ms.to_string();
    let headers = [("host", HOST), ("Deadline-Ms", deadline.as_str())];
    let limit = Duration::from_millis(deadline_ms);
    let response = http::call(entry, method, path, &headers, body, limit);
    match &response {
        Some(response) => record.line(&format!(
            "client gets {} to {method} {path}: {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        )),
        None => record.line(&format!("client gets no answer to {method} {path}")),
    }
    response
}

/// Hands a job in as PROTOCOL says: after no response, a broken connection, 502 or 504 it is sent again
/// `resendIntervalMs` later, to any entry, up to `tries` times. Returns the last status.
pub fn hand_in(
    record: &Record,
    entries: &[Entry],
    first: usize,
    path: &str,
    deadline_ms: u64,
    job: &Json,
    tries: usize,
) -> Option<u16> {
    let body = job.write().into_bytes();
    let mut status = None;
    for attempt in 0..tries {
        let entry = entries[(first + attempt) % entries.len()].callers;
        let response = request(record, entry, "POST", path, deadline_ms, &body);
        status = response.map(|response| response.status);
        if !matches!(status, None | Some(502) | Some(504)) {
            break;
        }
        thread::sleep(Duration::from_millis(RESEND_MS));
    }
    status
}
