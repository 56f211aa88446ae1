//! Messages about a target that do not come from it: reports of other writers, and refused connections.

mod platform_support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_standins::{
    CONFIGURATION_KEY, SharedLedger, StoreServer, TargetServer, TargetSettings, configuration, job,
};
use platform_support::support::{Process, call, wait_until};
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, restart_agent, start_entry, start_target,
    write_agent_settings,
};
use serde_json::json;
use web::{Method, Request};

/// Time that each task takes, in milliseconds.
const TASK_MS: u64 = 500;

/// Tasks of the job, more than one target has room for.
const TASKS: u32 = 12;

/// Restarts of a target while jobs arrive.
const RESTARTS: u64 = 12;

/// Tasks that take all room of both targets.
const ALL_ROOM: u32 = 16;

/// Forwards connections to a target. While it is cut, new connections are refused and open ones are
/// reset, as by a packet filter; the target itself goes on.
#[derive(Clone)]
struct Relay {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    fn new() -> Self {
        Self {
            address: free_address(),
            is_cut: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        }
    }

    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that it closes the port.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn heal(&self, target: SocketAddr) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.is_cut.store(false, Ordering::SeqCst);
        let relay = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if relay.is_cut.load(Ordering::SeqCst) {
                    return;
                }
                relay.forward(&stream, target);
            }
        });
    }

    fn forward(&self, stream: &TcpStream, target: SocketAddr) {
        let Ok(onward) = TcpStream::connect(target) else {
            return;
        };
        let mut streams = self.streams.lock().expect("no panic");
        for (from, to) in [(stream, &onward), (&onward, stream)] {
            let (from, to) = (from.try_clone(), to.try_clone());
            let (Ok(from), Ok(to)) = (from, to) else {
                return;
            };
            streams.extend(from.try_clone());
            std::thread::spawn(move || copy(from, to));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Two hosts and an entry; the agent of the first host reaches its target through a relay.
struct Hosts {
    ledger: SharedLedger,
    entry: Entry,
    agents: Vec<Process>,
    targets: Vec<TargetServer>,
    relay: Relay,
    reports: SocketAddr,
    _folders: Vec<tempfile::TempDir>,
    _store: StoreServer,
}

impl Hosts {
    async fn start() -> Self {
        let ledger = SharedLedger::default();
        let store = StoreServer::start().expect("a store");
        let body = configuration(1, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        let folders: Vec<_> = (0..3)
            .map(|_| tempfile::tempdir().expect("a folder"))
            .collect();
        let entry = start_entry(folders[2].path(), store.address(), "info");
        let relay = Relay::new();
        let reports = [free_address(), free_address()];
        let other = TargetSettings {
            number: 1,
            group: GROUP.to_owned(),
            cpu_millis: 8_000,
            reports_address: reports[1],
        };
        let targets = vec![
            start_target(reports[0], &ledger),
            TargetServer::start(other, ledger.clone()).expect("a target"),
        ];
        relay.heal(targets[0].address());
        let mut agents = Vec::new();
        for (host, target) in [(0, relay.address), (1, targets[1].address())] {
            let (folder, store) = (folders[host].path(), store.address());
            let more = "relayed_target = true\n";
            write_agent_settings(folder, store, target, reports[host], "info", more);
            let settings = folder.join("agent.toml");
            let text = std::fs::read_to_string(&settings).expect("the file is read");
            let text = text.replacen("\"host\"", &format!("\"host-{host}\""), 1);
            std::fs::write(&settings, text).expect("the file is written");
            agents.push(restart_agent(folder));
        }
        let hosts = Self {
            ledger,
            entry,
            agents,
            targets,
            relay,
            reports: reports[0],
            _folders: folders,
            _store: store,
        };
        let mut number = 0;
        wait_until("both hosts are in use", async || {
            number += 1;
            let (id, sent) = (format!("{number:016x}"), Instant::now());
            let status = hosts.entry.status_of(&id, &job(ALL_ROOM, TASK_MS)).await;
            // One target alone would take twice the time of a task.
            status == Some(200) && sent.elapsed() < Duration::from_millis(TASK_MS * 3 / 2)
        })
        .await;
        hosts
    }

    /// Submits a job that needs both targets, and calls `disturb` while its tasks run.
    async fn run_job(&self, disturb: impl AsyncFnOnce()) -> Option<u16> {
        let body = job(TASKS, TASK_MS);
        let status = self.entry.status_of("5c0e7a21d94b36f8", &body);
        let disturbance = async {
            monoio::time::sleep(Duration::from_millis(TASK_MS / 3)).await;
            disturb().await;
        };
        futures::join!(status, disturbance).0
    }
}

// The agent took one refused connection for the end of its target, and the entry started the runs
// elsewhere while the target worked on them.
#[test]
fn runs_are_not_repeated_while_a_target_that_refuses_connections_works_on_them() {
    let run = runtime::run(async {
        let hosts = Hosts::start().await;
        let status = hosts
            .run_job(async || {
                hosts.relay.cut();
                monoio::time::sleep(Duration::from_millis(1_200)).await;
                hosts.relay.heal(hosts.targets[0].address());
            })
            .await;
        assert_eq!(hosts.ledger.borrow().violations, Vec::<String>::new());
        assert!(status.is_some(), "no answer");
    });
    run.expect("the runtime starts");
}

// The next incarnation of a target began the starts that had waited at its port, after the agent had
// reported their runs as ended with the earlier one and the entry had started their tasks elsewhere.
#[test]
fn starts_that_wait_at_a_restarting_target_are_not_repeated_beside_it() {
    let run = runtime::run(async {
        let hosts = Hosts::start().await;
        hosts.targets[0].faults().stop_ms.set(40);
        let submissions = (0..RESTARTS * 25).map(|number| {
            let hosts = &hosts;
            async move {
                monoio::time::sleep(Duration::from_millis(10 * number)).await;
                let id = format!("a{number:015x}");
                hosts.entry.status_of(&id, &job(2, 60)).await
            }
        });
        let restarts = async {
            for _ in 0..RESTARTS {
                monoio::time::sleep(Duration::from_millis(150)).await;
                hosts.targets[0].restart(Duration::from_millis(100)).await;
            }
        };
        let (statuses, ()) = futures::join!(futures::future::join_all(submissions), restarts);
        assert_eq!(hosts.ledger.borrow().violations, Vec::<String>::new());
        let is_completed = |status: &&Option<u16>| **status == Some(200);
        let completed = statuses.iter().filter(is_completed).count();
        // The other target alone has room for half of them.
        assert!(completed * 2 > statuses.len(), "{completed} completed");
    });
    run.expect("the runtime starts");
}

// The agent took the report of another writer for a new incarnation of its target.
#[test]
fn runs_are_not_repeated_after_a_report_of_another_writer() {
    let run = runtime::run(async {
        let mut hosts = Hosts::start().await;
        let reports = hosts.reports;
        let status = hosts
            .run_job(async || {
                let body = json!({
                    "service": "elsewhere", "address": "127.0.0.1:9", "zone": "a", "slots": 8,
                    "version": "v1", "state": "ready", "coldRemainingMs": 0, "clockMs": 1,
                    "sequence": 1, "capacity": {"cpu": 8_000, "memoryRequestMb": 64, "gpu": 0},
                    "labels": ["b", "r9-1"], "born": 9_000_000_000_000_u64,
                });
                let mut request = Request::post_json("/instances/i-77", &body);
                request.method = Method::PUT;
                let response = call(reports, &request).await;
                assert_eq!(response.map(|response| response.status), Some(200));
            })
            .await;
        assert_eq!(hosts.ledger.borrow().violations, Vec::<String>::new());
        assert_eq!(status, Some(200));
        platform_support::line_of(&mut hosts.agents[0], "\"report_refused\"").await;
    });
    run.expect("the runtime starts");
}
