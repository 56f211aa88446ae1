//! Executors lose power while tasks wait at their hosts, and come back as executors of another kind.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use kit::executor::Executor;
use kit::json::{Json, text};
use kit::record::RunSpan;
use kit::{Case, Entry, free_address};

const SERVICE: &str = "escort-planner";
const PREFIX: &str = "/plan/";
const DEADLINE_MS: u64 = 1_500;
/// Kinds of the executors at the start.
const KINDS: [&str; 7] = ["a", "a", "b", "a", "b", "a", "b"];
const CPU: u64 = 32_000;
const TASK_CPU: u64 = 3_100;
const TASK_MS: u64 = 900;
const TASKS: u64 = 4;
/// Jobs in a row of which three need kind a and two need kind b.
const NEEDS: [&str; 5] = ["a", "b", "a", "b", "a"];
const JOBS_PER_S: u64 = 20;
/// Crashes, of one of the seven executors at a time.
const CRASHES: usize = 10;
const DARK: Duration = Duration::from_millis(400);
const BETWEEN: Duration = Duration::from_millis(3_000);

fn main() {
    let case = Case::from_arguments();
    let store = kit::store::Store::start();
    let routes = vec![kit::route("convoy-slot-plan", PREFIX, SERVICE, DEADLINE_MS)];
    store.put("op/config", &kit::configuration(3, routes, &[SERVICE]));
    let entries = vec![Entry::new(), Entry::new()];
    let mut processes = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let name = format!("frontend-{number}");
        processes.push(case.gateway(&name, entry, store.address, &entries));
    }
    let mut hosts = Vec::new();
    for (number, kind) in KINDS.into_iter().enumerate() {
        let name = format!("i-{number}");
        let executor = Executor::start_as(&name, SERVICE, kind, CPU, &case.record);
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
                let job = job(NEEDS[number % NEEDS.len()]);
                let path = format!("{PREFIX}{number:016x}");
                kit::hand_in(&record, &all, number, &path, DEADLINE_MS, &job, 2)
            }));
            thread::sleep(Duration::from_millis(1_000 / JOBS_PER_S));
        }
        let results = clients.into_iter().map(|client| client.join().unwrap());
        results.collect::<Vec<Option<u16>>>()
    });
    for number in 0..CRASHES {
        thread::sleep(BETWEEN - DARK);
        if case.has_trouble {
            let (executor, reports) = &hosts[number % hosts.len()];
            executor.go_dark();
            thread::sleep(DARK);
            let kind = if executor.kind() == "a" { "b" } else { "a" };
            executor.come_back_as(&format!("{}-{}", executor.name, number + 2), kind);
            executor.send_heartbeat(*reports);
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
    let spans = case.record.spans();
    let misplaced: Vec<&RunSpan> = spans
        .iter()
        .filter(|span| span.specification.split(' ').nth(3) != Some(span.kind.as_str()))
        .collect();
    for span in &misplaced {
        case.record.line(&format!(
            "ROUTE: {} (specification `{}`, which ends with the label required) began at {} ms on {}, \
             which is of kind {}; it ended {}",
            span.task, span.specification, span.begin_ms, span.executor, span.kind, span.how
        ));
    }
    drop(processes);
    println!(
        "{} of {} starts were on an executor without the label that their step requires",
        misplaced.len(),
        spans.len()
    );
    if served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(!misplaced.is_empty()));
}

/// A job whose tasks require a label, which is also the last word of its specification.
fn job(label: &str) -> Json {
    let mut step = kit::step(TASKS, TASK_CPU, TASK_MS, &[]);
    if let Json::Obj(fields) = &mut step {
        fields.push(("requirements".to_owned(), text(label)));
    }
    let mut job = kit::job(TASK_MS, TASK_CPU, vec![step]);
    if let Json::Obj(fields) = &mut job {
        let specification = text(&format!("{TASK_MS} {TASK_CPU} 64 {label}"));
        for (name, value) in fields {
            if name == "specification" {
                *value = specification.clone();
            }
        }
    }
    job
}
