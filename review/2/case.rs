//! Executors lose power for a moment and start again under the id that they had.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use kit::executor::Executor;
use kit::{Case, Entry, free_address};

const SERVICE: &str = "escort-planner";
const PREFIX: &str = "/check/";
const HOSTS: usize = 14;
const CPU: u64 = 32_000;
/// Crashes, of two of the 14 executors at a time.
const CRASHES: usize = 20;
const DARK: Duration = Duration::from_millis(300);
const BETWEEN: Duration = Duration::from_millis(2_500);
/// Time from when an executor takes calls until its first heartbeat.
const HEARTBEAT_AFTER: Duration = Duration::from_millis(15);
const JOBS_PER_S: u64 = 100;

fn main() {
    let case = Case::from_arguments();
    let store = kit::store::Store::start();
    let routes = vec![kit::route("ice-lane-check", PREFIX, SERVICE, 1_500)];
    store.put("op/config", &kit::configuration(3, routes, &[SERVICE]));
    let entries = vec![Entry::new(), Entry::new()];
    let mut processes = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let name = format!("frontend-{number}");
        processes.push(case.gateway(&name, entry, store.address, &entries));
    }
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let executor = Executor::start(&format!("i-{number}"), SERVICE, CPU, &case.record);
        let reports = free_address();
        let name = format!("side-{number}");
        let address = executor.address;
        processes.push(case.sidecar(&name, address, reports, store.address, &entries));
        thread::sleep(Duration::from_millis(50));
        executor.send_heartbeats(reports);
        hosts.push((executor, reports));
    }
    entries
        .iter()
        .for_each(|entry| case.wait_until_ready(entry));
    thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let (ending, record, all) = (
        Arc::clone(&is_over),
        Arc::clone(&case.record),
        entries.clone(),
    );
    let traffic = thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0.. {
            if ending.load(Ordering::Relaxed) {
                break;
            }
            let (record, all) = (Arc::clone(&record), all.clone());
            clients.push(thread::spawn(move || {
                let job = kit::job(100, 3_100, vec![kit::step(8, 3_100, 100, &[])]);
                let path = format!("{PREFIX}{number:016x}");
                kit::hand_in(&record, &all, number, &path, 1_500, &job, 3)
            }));
            thread::sleep(Duration::from_millis(1_000 / JOBS_PER_S));
        }
        let results = clients.into_iter().map(|client| client.join().unwrap());
        results.collect::<Vec<Option<u16>>>()
    });
    for number in 0..CRASHES {
        thread::sleep(BETWEEN - DARK);
        if case.has_trouble {
            let crashed = [2 * number % HOSTS, (2 * number + 1) % HOSTS].map(|at| &hosts[at]);
            crashed.iter().for_each(|(executor, _)| executor.go_dark());
            thread::sleep(DARK);
            crashed
                .iter()
                .for_each(|(executor, _)| executor.come_back());
            thread::sleep(HEARTBEAT_AFTER);
            for (executor, reports) in crashed {
                executor.send_heartbeat(*reports);
            }
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let statuses = traffic.join().unwrap();
    thread::sleep(Duration::from_secs(2));
    let served = statuses
        .iter()
        .filter(|status| **status == Some(200))
        .count();
    case.record.line(&format!(
        "{served} of {} jobs were answered with 200",
        statuses.len()
    ));
    let overlaps = case.record.overlaps();
    for (one, other, overlap_ms) in &overlaps {
        case.record.line(&format!(
            "TWICE: {} at work on {} (run {}, {} to {:?} ms, {}) and on {} (run {}, {} to {:?} ms, \
             {}): {overlap_ms} ms at the same time",
            one.task,
            one.executor,
            one.run,
            one.begin_ms,
            one.end_ms,
            one.how,
            other.executor,
            other.run,
            other.begin_ms,
            other.end_ms,
            other.how
        ));
    }
    drop(processes);
    println!("{} tasks were at work twice at a time", overlaps.len());
    if served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(!overlaps.is_empty()));
}
