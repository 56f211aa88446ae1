//! An executor, as PROTOCOL describes it: runs, their lease, fencing tokens, lists and heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::kit::http::{self, Reply, Request};
use crate::kit::json::{self, Json, num, obj, text};
use crate::kit::record::Record;

/// Longest lease (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes; `stopTimeoutMs` is 50.
const STOP_MS: u64 = 10;
/// Interval of heartbeats (`heartbeatIntervalMs`).
const HEARTBEAT_MS: u64 = 1_500;

struct Run {
    run: u64,
    cpu: u64,
    memory_mb: u64,
    begun: Instant,
    work_ms: u64,
    ends_at: Instant,
    how: &'static str,
    span: usize,
}

/// One life of the executor.
struct State {
    life: u64,
    id: String,
    kind: String,
    is_dark: bool,
    born_unix_ms: u64,
    born_at: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, Json)>,
    last_end: u64,
    sequence: u64,
    calls: u64,
}

pub struct Executor {
    pub name: String,
    pub service: String,
    pub cpu: u64,
    pub memory_mb: u64,
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Arc<Record>,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn new_life(life: u64, id: &str, kind: &str) -> State {
    State {
        life,
        id: id.to_owned(),
        kind: kind.to_owned(),
        is_dark: false,
        born_unix_ms: unix_ms(),
        born_at: Instant::now(),
        token: 0,
        lease_end_ms: 0,
        runs: BTreeMap::new(),
        highest: BTreeMap::new(),
        ends: Vec::new(),
        last_end: 0,
        sequence: 0,
        calls: 0,
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.born_at.elapsed().as_millis() as u64
    }

    fn finish(&mut self, record: &Record, task: &str, how: &str) {
        if let Some(run) = self.runs.remove(task) {
            record.end(run.span, how);
            self.last_end += 1;
            let row = vec![
                num(self.last_end),
                text(task),
                num(run.run),
                text(how),
                text(""),
            ];
            self.ends.push((self.last_end, Json::Arr(row)));
        }
    }

    /// Ends the runs whose time has come, and all of them if the lease is over.
    fn advance(&mut self, record: &Record) -> bool {
        let before = self.last_end;
        let now = Instant::now();
        let due: Vec<(String, &'static str)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(task, run)| (task.clone(), run.how))
            .collect();
        for (task, how) in due {
            self.finish(record, &task, how);
        }
        if self.clock_ms() >= self.lease_end_ms {
            let lapsed: Vec<String> = self.runs.keys().cloned().collect();
            for task in lapsed {
                self.finish(record, &task, "lapsed");
            }
        }
        self.last_end > before
    }

    fn extend(&mut self, body: &Json) {
        if let Some(expires_ms) = body.u64("expiresMs") {
            let end_ms = expires_ms.min(self.clock_ms() + MAX_HOLD_MS);
            self.lease_end_ms = self.lease_end_ms.max(end_ms);
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = obj(vec![
            ("born", num(self.born_unix_ms)),
            ("clockMs", num(self.clock_ms())),
            ("reason", text(reason)),
        ]);
        http::json(409, &body)
    }

    fn accept(&self) -> Reply {
        let body = obj(vec![
            ("born", num(self.born_unix_ms)),
            ("clockMs", num(self.clock_ms())),
        ]);
        http::json(200, &body)
    }
}

impl Executor {
    /// Starts an executor of kind `a`; it sends heartbeats once [`Self::send_heartbeats`] is called.
    pub fn start(name: &str, service: &str, cpu: u64, record: &Arc<Record>) -> Arc<Executor> {
        Executor::start_as(name, service, "a", cpu, record)
    }

    /// Starts an executor of a kind, which is one of its labels.
    pub fn start_as(
        name: &str,
        service: &str,
        kind: &str,
        cpu: u64,
        record: &Arc<Record>,
    ) -> Arc<Executor> {
        let shared = Arc::new((Mutex::new(new_life(1, name, kind)), Condvar::new()));
        let (serving, ledger) = (Arc::clone(&shared), Arc::clone(record));
        let (own_name, memory_mb) = (name.to_owned(), 65_536);
        let address = http::serve(move |request, accepted| {
            answer(
                &serving, &ledger, &own_name, cpu, memory_mb, request, accepted,
            )
        });
        let (timed, ledger) = (Arc::clone(&shared), Arc::clone(record));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                let has_ended = timed.0.lock().unwrap().advance(&ledger);
                if has_ended {
                    timed.1.notify_all();
                }
            }
        });
        Arc::new(Executor {
            name: name.to_owned(),
            service: service.to_owned(),
            cpu,
            memory_mb,
            address,
            shared,
            record: Arc::clone(record),
        })
    }

    pub fn calls(&self) -> u64 {
        self.shared.0.lock().unwrap().calls
    }

    pub fn heartbeat(&self) -> Json {
        let mut state = self.shared.0.lock().unwrap();
        state.sequence += 1;
        obj(vec![
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text("kochi-a")),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            (
                "capacity",
                obj(vec![
                    ("cpu", num(self.cpu)),
                    ("memoryRequestMb", num(self.memory_mb)),
                    ("gpu", num(0)),
                ]),
            ),
            ("labels", Json::Arr(vec![text(&state.kind), text("r1-1")])),
            ("clockMs", num(state.clock_ms())),
            ("sequence", num(state.sequence)),
            ("born", num(state.born_unix_ms)),
        ])
    }

    pub fn send_heartbeat(&self, reports: SocketAddr) {
        let body = self.heartbeat().write();
        let id = self.shared.0.lock().unwrap().id.clone();
        let path = format!("/instances/{id}");
        let limit = Duration::from_millis(1_000);
        http::call(reports, "PUT", &path, &[], body.as_bytes(), limit);
    }

    /// Sends heartbeats to the agent at the usual interval, except while the executor is dark.
    pub fn send_heartbeats(self: &Arc<Self>, reports: SocketAddr) {
        let executor = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let is_dark = executor.shared.0.lock().unwrap().is_dark;
                if !is_dark {
                    executor.send_heartbeat(reports);
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    /// The executor loses power: what runs is gone, and nothing is answered.
    pub fn go_dark(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.is_dark = true;
        state.life += 1;
        let runs = std::mem::take(&mut state.runs);
        for run in runs.values() {
            self.record.end(run.span, "lost with the executor");
        }
        self.record
            .line(&format!("{} is down, silently", self.name));
    }

    /// The executor starts again under its id; it knows nothing of before.
    pub fn come_back(&self) {
        let (id, kind) = {
            let state = self.shared.0.lock().unwrap();
            (state.id.clone(), state.kind.clone())
        };
        self.come_back_as(&id, &kind);
    }

    /// A new incarnation starts at the address of the executor, with an id and a kind of its own.
    pub fn come_back_as(&self, id: &str, kind: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let life = state.life + 1;
        *state = new_life(life, id, kind);
        self.record.line(&format!(
            "{} starts again as {id} of kind {kind}, born {}",
            self.name, state.born_unix_ms
        ));
    }

    pub fn kind(&self) -> String {
        self.shared.0.lock().unwrap().kind.clone()
    }
}

fn answer(
    shared: &(Mutex<State>, Condvar),
    record: &Record,
    name: &str,
    cpu: u64,
    memory_mb: u64,
    request: &Request,
    accepted: Instant,
) -> Reply {
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    // A connection of an earlier life, or to a machine without power, leads nowhere.
    if state.is_dark || accepted < state.born_at {
        drop(state);
        return Reply::Silence;
    }
    state.calls += 1;
    let life = state.life;
    if let Some(expected) = request.header("expected-instance")
        && expected != state.id
    {
        let body = obj(vec![
            ("born", num(state.born_unix_ms)),
            ("clockMs", num(state.clock_ms())),
        ]);
        return http::json(421, &body);
    }
    let Some(body) = json::parse(&request.body) else {
        return http::json(400, &obj(vec![]));
    };
    let token = body.u64("fencingToken").unwrap_or(0);
    if token < state.token {
        return state.refuse("fence");
    }
    state.token = token;
    state.advance(record);
    let task = body.str("task").unwrap_or_default().to_owned();
    let number = body.u64("run").unwrap_or(0);
    match request.path.as_str() {
        "/run-start" => {
            if state.runs.get(&task).is_some_and(|run| run.run == number) {
                state.extend(&body);
                return state.accept();
            }
            if body.u64("expiresMs").unwrap_or(0) <= state.clock_ms() {
                return state.refuse("late");
            }
            state.extend(&body);
            if number <= state.highest.get(&task).copied().unwrap_or(0)
                || state.runs.contains_key(&task)
            {
                return state.refuse("old");
            }
            let specification = body.str("specification").unwrap_or_default().to_owned();
            // The specification gives work, cpu and memory: "900 3100 64".
            let mut words = specification
                .split(' ')
                .filter_map(|word| word.parse().ok());
            let work_ms = words.next().unwrap_or(100);
            let run_cpu = words.next().unwrap_or(1_000);
            let run_memory = words.next().unwrap_or(64);
            let used: u64 = state.runs.values().map(|run| run.cpu).sum();
            let used_memory: u64 = state.runs.values().map(|run| run.memory_mb).sum();
            if used + run_cpu > cpu || used_memory + run_memory > memory_mb {
                return state.refuse("room");
            }
            state.highest.insert(task.clone(), number);
            let span = record.begin(name, &state.kind, &task, number, &specification);
            let begun = Instant::now();
            let run = Run {
                run: number,
                cpu: run_cpu,
                memory_mb: run_memory,
                begun,
                work_ms,
                ends_at: begun + Duration::from_millis(work_ms),
                how: "done",
                span,
            };
            state.runs.insert(task, run);
            state.accept()
        }
        "/run-stop" => {
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(number);
            if let Some(run) = state.runs.get_mut(&task)
                && run.run <= number
                && run.how != "stopped"
            {
                run.how = "stopped";
                run.ends_at = run
                    .ends_at
                    .min(Instant::now() + Duration::from_millis(STOP_MS));
                record.line(&format!("{name} is told to stop {task} run {number}"));
            }
            state.accept()
        }
        "/hold" => {
            state.extend(&body);
            let cursor = body.u64("ackCursor").unwrap_or(0);
            state.ends.retain(|(end, _)| *end > cursor);
            let wait_ms = body.u64("waitMs").unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            while state.ends.is_empty() {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = changed.wait_timeout(state, left).unwrap().0;
                if state.life != life {
                    drop(state);
                    return Reply::Silence;
                }
            }
            let running = state.runs.iter().map(|(task, run)| {
                let done = run.begun.elapsed().as_millis() as u64 * 100 / run.work_ms.max(1);
                let row = vec![
                    text(task),
                    num(run.run),
                    text(""),
                    num(done.min(99)),
                    num(run.cpu),
                ];
                Json::Arr(row)
            });
            let running = running.collect();
            let finished = state.ends.iter().take(500).map(|(_, end)| end.clone());
            let body = obj(vec![
                ("born", num(state.born_unix_ms)),
                ("clockMs", num(state.clock_ms())),
                ("running", Json::Arr(running)),
                ("finished", Json::Arr(finished.collect())),
            ]);
            http::json(200, &body)
        }
        _ => http::json(404, &obj(vec![])),
    }
}
