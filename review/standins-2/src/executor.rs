//! Stand-in for an executor, with the network between it and its agent.
//!
//! The specification of a task is its work in milliseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reply, Server};
use crate::json::Json;
use crate::record::Record;

/// Longest lease, `maxHoldMs`.
const MAX_HOLD_MS: u64 = 1_000;

/// Time that a stop takes; at most `stopTimeoutMs`, which is 50.
const STOP_MS: u64 = 20;

const HEARTBEAT_INTERVAL_MS: u64 = 1_500;

const MAX_LISTED_ENDS: usize = 500;

#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address of the agent for heartbeats.
    pub reports: SocketAddr,
    pub cpu: u64,
    /// Kind at first, one of its labels.
    pub kind: &'static str,
}

struct Run {
    number: u64,
    cpu: u64,
    began_ms: u64,
    work_ms: u64,
    /// When it ends as stopped.
    stops_at_ms: Option<u64>,
}

/// One life of the executor.
struct Life {
    born: u64,
    /// Kind of the executor, one of its labels.
    kind: &'static str,
    begin: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest number of a run that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    ends: Vec<(u64, Json)>,
    last_end: u64,
    sequence: u64,
}

impl Life {
    fn new(kind: &'static str) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: born.map_or(1, |born| born.as_millis() as u64),
            kind,
            begin: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }
}

/// An order that reaches the executor.
#[derive(Debug, Clone)]
pub struct Order {
    pub executor: usize,
    pub is_start: bool,
    pub task: String,
}

/// Returns how late an order is carried out, which then gets no answer; `None` for the usual.
pub type Lateness = Arc<dyn Fn(&Order) -> Option<Duration> + Send + Sync>;

#[derive(Clone)]
pub struct Executor {
    number: usize,
    settings: Settings,
    record: Arc<Record>,
    life: Arc<(Mutex<Option<Life>>, Condvar)>,
    server: Arc<Mutex<Option<Server>>>,
    lateness: Lateness,
    /// Orders, and those of them that were late.
    counts: Arc<Mutex<(u64, u64)>>,
}

impl Executor {
    pub fn new(number: usize, settings: Settings, record: Arc<Record>, lateness: Lateness) -> Self {
        let executor = Self {
            number,
            settings,
            record,
            life: Arc::default(),
            server: Arc::default(),
            lateness,
            counts: Arc::default(),
        };
        let ticking = executor.clone();
        thread::spawn(move || ticking.tick());
        let reporting = executor.clone();
        thread::spawn(move || reporting.report());
        executor
    }

    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// Returns the number of orders, and of those that were late.
    pub fn counts(&self) -> (u64, u64) {
        *self.counts.lock().unwrap()
    }

    /// Begins a life under the same id.
    pub fn start(&self) -> std::io::Result<()> {
        *self.life.0.lock().unwrap() = Some(Life::new(self.settings.kind));
        let serving = self.clone();
        let handler = Arc::new(move |request: &Message| serving.receive(request));
        let server = Server::start(self.settings.address, handler)?;
        *self.server.lock().unwrap() = Some(server);
        self.record.line(format!("{} starts", self.id()));
        Ok(())
    }

    /// Ends the life without a word; all that runs ends with it.
    pub fn crash(&self) {
        let mut guard = self.life.0.lock().unwrap();
        self.record.line(format!("{} crashes", self.id()));
        for (task, run) in guard.take().into_iter().flat_map(|life| life.runs) {
            self.record.run_ended(&task, run.number, self.id(), "crashed");
        }
        drop(guard);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.life.1.notify_all();
    }

    /// Loses power: all that runs ends, and calls get no answer.
    pub fn go_dark(&self) {
        let mut guard = self.life.0.lock().unwrap();
        self.record.line(format!("{} goes dark", self.id()));
        for (task, run) in guard.take().into_iter().flat_map(|life| life.runs) {
            self.record.run_ended(&task, run.number, self.id(), "crashed");
        }
        drop(guard);
        self.life.1.notify_all();
    }

    /// Begins a life of this kind under the same id and at the same address, after [`Self::go_dark`].
    pub fn come_back(&self, kind: &'static str) {
        // What was sent meanwhile is lost, and connections of before are reset.
        if let Some(server) = &*self.server.lock().unwrap() {
            server.reset_connections();
        }
        let mut guard = self.life.0.lock().unwrap();
        self.record.line(format!("{} is back as kind {kind}", self.id()));
        *guard = Some(Life::new(kind));
    }

    fn report(&self) {
        loop {
            let body = self.life.0.lock().unwrap().as_mut().map(|life| {
                life.sequence += 1;
                Json::object([
                    ("service", self.settings.service.as_str().into()),
                    ("address", self.settings.address.to_string().into()),
                    ("zone", self.settings.zone.as_str().into()),
                    ("version", "v1".into()),
                    ("slots", 8.into()),
                    ("state", "ready".into()),
                    ("coldRemainingMs", 0.into()),
                    (
                        "capacity",
                        Json::object([
                            ("cpu", self.settings.cpu.into()),
                            ("memoryRequestMb", 32_768.into()),
                            ("gpu", 0.into()),
                        ]),
                    ),
                    ("labels", Json::List(vec![life.kind.into(), "r1-1".into()])),
                    ("clockMs", life.clock_ms().into()),
                    ("sequence", life.sequence.into()),
                    ("born", life.born.into()),
                ])
            });
            let Some(body) = body else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let path = format!("/instances/{}", self.id());
            let text = http::request("PUT", &path, "control", &[], &body.to_string());
            let limit = Duration::from_secs(1);
            let is_acknowledged = http::call(self.settings.reports, &text, limit)
                .is_ok_and(|response| response.status() / 100 == 2);
            // A life that is over sends nothing; the next one begins with a heartbeat.
            let born = body.number("born");
            let pause_ms = if is_acknowledged { HEARTBEAT_INTERVAL_MS } else { 200 };
            let until = Instant::now() + Duration::from_millis(pause_ms);
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(10));
                let life = self.life.0.lock().unwrap();
                if life.as_ref().is_some_and(|life| Some(life.born) != born) {
                    break;
                }
            }
        }
    }

    /// Ends runs that are done, stopped, or whose lease is over.
    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut guard = self.life.0.lock().unwrap();
            let Some(life) = guard.as_mut() else {
                continue;
            };
            let now_ms = life.clock_ms();
            let is_lapsed = now_ms >= life.lease_end_ms;
            let over = |run: &Run| {
                if run.stops_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                    Some("stopped")
                } else if is_lapsed {
                    Some("lapsed")
                } else if now_ms >= run.began_ms + run.work_ms {
                    Some("done")
                } else {
                    None
                }
            };
            let ended: Vec<(String, u64, &str)> = life
                .runs
                .iter()
                .filter_map(|(task, run)| over(run).map(|how| (task.clone(), run.number, how)))
                .collect();
            for (task, number, how) in &ended {
                life.runs.remove(task);
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*number);
                life.last_end += 1;
                let row = vec![
                    life.last_end.into(),
                    task.as_str().into(),
                    (*number).into(),
                    (*how).into(),
                    "".into(),
                ];
                life.ends.push((life.last_end, Json::List(row)));
            }
            for (task, number, how) in &ended {
                self.record.run_ended(task, *number, self.id(), how);
            }
            drop(guard);
            if !ended.is_empty() {
                self.life.1.notify_all();
            }
        }
    }

    fn receive(&self, request: &Message) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let is_start = request.path() == "/run-start";
        if is_start || request.path() == "/run-stop" {
            let order = Order {
                executor: self.number,
                is_start,
                task: body.text("task").unwrap_or_default().to_owned(),
            };
            let late = (self.lateness)(&order);
            let mut counts = self.counts.lock().unwrap();
            counts.0 += 1;
            counts.1 += u64::from(late.is_some());
            drop(counts);
            if let Some(late) = late {
                let run = body.number("run").unwrap_or(0);
                let name = if is_start { "start" } else { "stop" };
                let text = format!("{name} of {} run {run}", order.task);
                let id = self.id();
                self.record.line(format!("{id} leaves the {text} unanswered"));
                let (executor, request) = (self.clone(), request.clone());
                thread::spawn(move || {
                    thread::sleep(late);
                    let outcome = match executor.carry_out(&request, &body) {
                        Reply::Answer(status, body) => format!("{status} {body}"),
                        Reply::Silence => "nothing".to_owned(),
                    };
                    let id = executor.id();
                    executor.record.line(format!("{id} carries out the {text}: {outcome}"));
                });
                return Reply::Silence;
            }
        }
        self.carry_out(request, &body)
    }

    fn carry_out(&self, request: &Message, body: &Json) -> Reply {
        let mut guard = self.life.0.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Reply::Silence;
        };
        if request.path() == "/health" {
            return Reply::Answer(200, "{}".to_owned());
        }
        let meant = request.headers.get("expected-instance");
        if meant.is_some_and(|meant| meant != self.id()) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let token = body.number("fencingToken").unwrap_or(0);
        if token < life.token {
            return refusal(life, "fence");
        }
        life.token = token;
        match request.path() {
            "/run-start" => self.start_run(life, body),
            "/run-stop" => {
                let task = body.text("task").unwrap_or_default().to_owned();
                let number = body.number("run").unwrap_or(0);
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(number);
                let at_ms = life.clock_ms() + STOP_MS;
                if let Some(run) = life.runs.get_mut(&task)
                    && run.number <= number
                {
                    run.stops_at_ms.get_or_insert(at_ms);
                }
                Reply::Answer(200, clock(life).to_string())
            }
            "/hold" => {
                extend(life, body);
                let acknowledged = body.number("ackCursor").unwrap_or(0);
                life.ends.retain(|(number, _)| *number > acknowledged);
                let wait_ms = body.number("waitMs").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let born = life.born;
                loop {
                    let Some(life) = guard.as_mut().filter(|life| life.born == born) else {
                        return Reply::Silence;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ends.is_empty() || left.is_zero() {
                        return Reply::Answer(200, lists(life).to_string());
                    }
                    guard = self.life.1.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.text("task").unwrap_or_default().to_owned();
        let number = body.number("run").unwrap_or(0);
        let now_ms = life.clock_ms();
        if life.runs.get(&task).is_some_and(|run| run.number == number) {
            extend(life, body);
            return Reply::Answer(200, clock(life).to_string());
        }
        if body.number("expiresMs").unwrap_or(0) <= now_ms {
            return refusal(life, "late");
        }
        extend(life, body);
        let is_old = life.closed.get(&task).is_some_and(|closed| number <= *closed);
        if is_old || life.runs.contains_key(&task) {
            return refusal(life, "old");
        }
        let cpu = 1_000;
        let used: u64 = life.runs.values().map(|run| run.cpu).sum();
        if used + cpu > self.settings.cpu {
            return refusal(life, "room");
        }
        let work_ms = body.text("specification").and_then(|text| text.parse().ok());
        let run = Run {
            number,
            cpu,
            began_ms: now_ms,
            work_ms: work_ms.unwrap_or(100),
            stops_at_ms: None,
        };
        life.runs.insert(task.clone(), run);
        self.record.run_began(&task, number, self.id(), life.kind);
        Reply::Answer(200, clock(life).to_string())
    }
}

fn clock(life: &Life) -> Json {
    Json::object([("clockMs", life.clock_ms().into()), ("born", life.born.into())])
}

fn refusal(life: &Life, reason: &str) -> Reply {
    let body = Json::object([
        ("clockMs", life.clock_ms().into()),
        ("born", life.born.into()),
        ("reason", reason.into()),
    ]);
    Reply::Answer(409, body.to_string())
}

fn extend(life: &mut Life, body: &Json) {
    if let Some(end_ms) = body.number("expiresMs") {
        let end_ms = end_ms.min(life.clock_ms() + MAX_HOLD_MS);
        life.lease_end_ms = life.lease_end_ms.max(end_ms);
    }
}

fn lists(life: &Life) -> Json {
    let now_ms = life.clock_ms();
    let running = life.runs.iter().map(|(task, run)| {
        let percent = (now_ms - run.began_ms) * 100 / run.work_ms.max(1);
        Json::List(vec![
            task.as_str().into(),
            run.number.into(),
            "".into(),
            percent.min(99).into(),
            run.cpu.into(),
        ])
    });
    let finished = life.ends.iter().take(MAX_LISTED_ENDS);
    Json::object([
        ("clockMs", now_ms.into()),
        ("born", life.born.into()),
        ("running", Json::List(running.collect())),
        ("finished", Json::List(finished.map(|(_, row)| row.clone()).collect())),
    ])
}
