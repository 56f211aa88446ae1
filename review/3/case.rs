//! A few jobs that can never be done, of very many tasks, are handed in while others are served. The
//! script plays the platform: it kills a process that exceeds its memory, and starts it again.

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
const PREFIX: &str = "/window/";
const HOSTS: usize = 3;
/// Jobs, of which twenty a second are handed in.
const JOBS: usize = 300;
/// One job in twenty can never be done, for three seconds.
const POISON_SHARE: usize = 20;
const POISON_FROM: usize = 60;
const POISON_UNTIL: usize = 120;
/// Memory of an entry (`limits.memoryMb`); a process that exceeds it is killed.
const MEMORY_MB: u64 = 260;
/// Steps of a job that can never be done, and tasks of each step.
const STEPS: u64 = 60;
const TASKS: u64 = 60_000;
/// How often a client hands a job in at most.
const TRIES: usize = 5;

fn main() {
    let case = Arc::new(Case::from_arguments());
    let store = kit::store::Store::start();
    let routes = vec![kit::route("berth-window", PREFIX, SERVICE, 1_500)];
    store.put("op/config", &kit::configuration(3, routes, &[SERVICE]));
    let entries = vec![Entry::new(), Entry::new()];
    let is_over = Arc::new(AtomicBool::new(false));
    let mut platform = Vec::new();
    for number in 0..entries.len() {
        let (case, entries, store) = (Arc::clone(&case), entries.clone(), store.address);
        let is_over = Arc::clone(&is_over);
        platform.push(thread::spawn(move || {
            let name = format!("frontend-{number}");
            let mut ends = 0;
            let mut process = case.gateway(&name, &entries[number], store, &entries);
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
                let has_ended = process.child.try_wait().ok().flatten().is_some();
                let memory_mb = memory_mb(process.child.id()).unwrap_or(0);
                if !has_ended && memory_mb <= MEMORY_MB {
                    continue;
                }
                ends += 1;
                case.record.line(&format!(
                    "{name} is killed: it has {memory_mb} MB of {MEMORY_MB} (end {ends})"
                ));
                drop(process);
                thread::sleep(Duration::from_millis(500));
                process = case.gateway(&name, &entries[number], store, &entries);
            }
            ends
        }));
    }
    let mut processes = Vec::new();
    for number in 0..HOSTS {
        let executor = Executor::start(&format!("i-{number}"), SERVICE, 32_000, &case.record);
        let reports = free_address();
        let name = format!("side-{number}");
        let address = executor.address;
        processes.push(case.sidecar(&name, address, reports, store.address, &entries));
        thread::sleep(Duration::from_millis(100));
        executor.send_heartbeats(reports);
    }
    entries
        .iter()
        .for_each(|entry| case.wait_until_ready(entry));
    thread::sleep(Duration::from_secs(3));

    let mut clients = Vec::new();
    for number in 0..JOBS {
        let (record, all) = (Arc::clone(&case.record), entries.clone());
        let is_poison = case.has_trouble
            && (POISON_FROM..POISON_UNTIL).contains(&number)
            && number % POISON_SHARE == 0;
        clients.push(thread::spawn(move || {
            let steps = if is_poison {
                (0..STEPS)
                    .map(|_| kit::step(TASKS, 3_100, 200, &[]))
                    .collect()
            } else {
                vec![kit::step(2, 3_100, 200, &[])]
            };
            let job = kit::job(200, 3_100, steps);
            if is_poison {
                let bytes = job.write().len();
                record.line(&format!(
                    "job {number:016x} can never be done; it has {bytes} bytes"
                ));
            }
            let path = format!("{PREFIX}{number:016x}");
            let status = kit::hand_in(&record, &all, number / 2, &path, 1_500, &job, TRIES);
            (is_poison, status)
        }));
        thread::sleep(Duration::from_millis(50));
    }
    let results: Vec<(bool, Option<u16>)> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<u32> = platform
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let others = || results.iter().filter(|(is_poison, _)| !is_poison);
    let served = others().filter(|(_, status)| *status == Some(200)).count();
    let line = format!(
        "{served} of {} other jobs were answered with 200; ends of the entries by themselves: {ends:?}",
        others().count()
    );
    case.record.line(&line);
    println!("{line}");
    drop(processes);
    // Two machines at least, three times in the day.
    let is_broken = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    std::process::exit(i32::from(is_broken));
}

fn memory_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1_024)
}
