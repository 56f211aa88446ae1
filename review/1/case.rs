//! A heartbeat of another writer reaches the agent of a host that is at work.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kit::executor::{self, Executor};
use kit::json::{Json, num, obj, text};
use kit::{Case, Entry, free_address, http};

const SERVICE: &str = "escort-planner";
const PREFIX: &str = "/plan/";
const TASK_MS: u64 = 900;
const TASK_CPU: u64 = 3_100;
const HOSTS: usize = 3;
const JOBS: usize = 40;

fn main() {
    let case = Case::from_arguments();
    let store = kit::store::Store::start();
    let routes = vec![kit::route("convoy-slot-plan", PREFIX, SERVICE, 1_500)];
    store.put("op/config", &kit::configuration(3, routes, &[SERVICE]));
    let entries = vec![Entry::new(), Entry::new()];
    let mut processes = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let name = format!("frontend-{number}");
        processes.push(case.gateway(&name, entry, store.address, &entries));
    }
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let executor = Executor::start(&format!("i-{number}"), SERVICE, 32_000, &case.record);
        let reports = free_address();
        let name = format!("side-{number}");
        let address = executor.address;
        processes.push(case.sidecar(&name, address, reports, store.address, &entries));
        thread::sleep(Duration::from_millis(100));
        executor.send_heartbeats(reports);
        hosts.push((executor, reports));
    }
    entries
        .iter()
        .for_each(|entry| case.wait_until_ready(entry));
    thread::sleep(Duration::from_secs(3));

    // Convoy slot plans of four tasks, four a second.
    let mut clients = Vec::new();
    for number in 0..JOBS {
        let (record, entries) = (Arc::clone(&case.record), entries.clone());
        clients.push(thread::spawn(move || {
            let job = kit::job(
                TASK_MS,
                TASK_CPU,
                vec![kit::step(4, TASK_CPU, TASK_MS, &[])],
            );
            let path = format!("{PREFIX}{number:016x}");
            kit::hand_in(&record, &entries, number, &path, 1_500, &job, 3)
        }));
        if number == JOBS / 2 && case.has_trouble {
            send_foreign_heartbeat(&case, hosts[0].1);
        }
        thread::sleep(Duration::from_millis(250));
    }
    let statuses: Vec<Option<u16>> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    thread::sleep(Duration::from_secs(2));
    let calls_before = hosts[0].0.calls();
    thread::sleep(Duration::from_secs(1));
    let calls = hosts[0].0.calls() - calls_before;

    let served = statuses
        .iter()
        .filter(|status| **status == Some(200))
        .count();
    case.record
        .line(&format!("{served} of {JOBS} jobs were answered with 200"));
    case.record.line(&format!(
        "the idle executor i-0 got {calls} calls in the last second"
    ));
    let last = case
        .record
        .spans()
        .into_iter()
        .filter(|span| span.executor == "i-0");
    let last = last.map(|span| span.begin_ms).max().unwrap_or(0);
    case.record.line(&format!(
        "the last run on i-0 began at {:.3} s",
        last as f64 / 1_000.0
    ));
    let overlaps = case.record.overlaps();
    for (one, other, overlap_ms) in &overlaps {
        case.record.line(&format!(
            "TWICE: {} at work on {} (run {}, {} to {:?} ms) and on {} (run {}, {} to {:?} ms): \
             {overlap_ms} ms at the same time",
            one.task,
            one.executor,
            one.run,
            one.begin_ms,
            one.end_ms,
            other.executor,
            other.run,
            other.begin_ms,
            other.end_ms
        ));
    }
    drop(processes);
    let is_broken = !overlaps.is_empty();
    println!("{} tasks were at work twice at a time", overlaps.len());
    if served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(is_broken));
}

/// Sends the heartbeat of another writer: whole and readable, of a service that isn't named in the
/// configuration.
fn send_foreign_heartbeat(case: &Case, reports: std::net::SocketAddr) {
    let body = obj(vec![
        ("service", text("tide-tables")),
        ("address", text("127.0.0.1:9")),
        ("zone", text("kochi-a")),
        ("version", text("v7")),
        ("slots", num(8)),
        ("state", text("ready")),
        ("coldRemainingMs", num(0)),
        (
            "capacity",
            obj(vec![
                ("cpu", num(8_000)),
                ("memoryRequestMb", num(8_192)),
                ("gpu", num(0)),
            ]),
        ),
        ("labels", Json::Arr(vec![text("a"), text("r1-1")])),
        ("clockMs", num(1_000)),
        ("sequence", num(1)),
        ("born", num(executor::unix_ms() - 1_000)),
    ]);
    case.record
        .line("another writer sends PUT /instances/i-77 to the agent of i-0");
    let limit = Duration::from_secs(1);
    let path = "/instances/i-77";
    let response = http::call(reports, "PUT", path, &[], body.write().as_bytes(), limit);
    let status = response.map(|response| response.status);
    case.record.line(&format!("it is answered with {status:?}"));
}
