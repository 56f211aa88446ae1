//! Executors lose power for a moment and come back under their ids as another kind, while jobs arrive
//! that require a kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict};
use crate::executor::Lateness;
use crate::rig::{self, QUEUE, Rig};

const HOSTS: usize = 7;

const KINDS: [&str; 2] = ["a", "b"];

const CRASHES: usize = 45;

const DARK: Duration = Duration::from_millis(400);

const PAUSE: Duration = Duration::from_millis(1_100);

const JOB_INTERVAL: Duration = Duration::from_millis(20);

pub fn run(has_trouble: bool) -> Outcome {
    let lateness: Lateness = Arc::new(|_| None);
    let services = [QUEUE.service; HOSTS];
    let rig = Rig::start(2, &services, &[QUEUE], lateness)?;
    let record = &*rig.record;
    let is_over = AtomicBool::new(false);
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        let (rig, served, is_over) = (&rig, &served, &is_over);
        scope.spawn(move || {
            let mut number = 0_u64;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let kind = KINDS[number as usize / 2 % 2];
                // The first digit of the id is the kind that the job requires.
                let id = format!("{kind}{number:015x}");
                let entry = &rig.entries[number as usize % 2];
                scope.spawn(move || {
                    let body = rig::job_for_kind(kind, 200, 200, 1, 4);
                    let result = rig::send(record, entry, &QUEUE, "POST", &id, 1_500, &body);
                    let is_served = result.is_ok_and(|response| response.status() == 200);
                    served.fetch_add(u64::from(is_served), Ordering::SeqCst);
                });
                thread::sleep(JOB_INTERVAL);
            }
        });
        for crash in 0..CRASHES {
            thread::sleep(PAUSE);
            if has_trouble {
                let number = crash % HOSTS;
                let executor = &rig.executors[number];
                let other = KINDS[(number + 1 + crash / HOSTS) % 2];
                executor.go_dark();
                thread::sleep(DARK);
                executor.come_back(other);
            }
        }
        thread::sleep(PAUSE);
        is_over.store(true, Ordering::SeqCst);
    });
    thread::sleep(Duration::from_millis(500));
    let starts = record.starts_of("");
    let wrong: Vec<_> = starts
        .iter()
        .filter(|start| !start.task.starts_with(&start.kind))
        .collect();
    let served = served.load(Ordering::SeqCst);
    record.line(format!("{served} jobs were served, {} tasks began", starts.len()));
    let verdict = match wrong.first() {
        None if served == 0 => Verdict::NotRun("no job was served".to_owned()),
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "ROUTE: {} of {} starts were at an executor without the label that the task requires, the \
             first, of {}, at {} of kind {} at {} ms",
            wrong.len(),
            starts.len(),
            first.task,
            first.executor,
            first.kind,
            first.at_ms
        )),
    };
    Ok((Arc::clone(&rig.record), verdict))
}
