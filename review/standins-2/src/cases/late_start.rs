//! A start gets no answer and is carried out seconds later, when the executor has crashed and begun a
//! new life under its id, and the task runs elsewhere.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict, verdict_on_overlaps};
use crate::executor::{Lateness, Order};
use crate::rig::{self, QUEUE, Rig};

const ID: &str = "5c0e7a21d94b36f8";

const WORK_MS: u64 = 4_000;

const DEADLINE_MS: u64 = 12_000;

/// How late the first start is carried out: 2 to 12 s.
const LATE: Duration = Duration::from_millis(2_300);

const CRASH_AFTER: Duration = Duration::from_millis(600);

const DOWN: Duration = Duration::from_millis(500);

pub fn run(has_trouble: bool) -> Outcome {
    let first: Arc<Mutex<Option<usize>>> = Arc::default();
    let chosen = Arc::clone(&first);
    let lateness: Lateness = Arc::new(move |order: &Order| {
        let mut first = chosen.lock().unwrap();
        let is_first = order.is_start && order.task.starts_with(ID) && first.is_none();
        if is_first {
            *first = Some(order.executor);
        }
        (is_first && has_trouble).then_some(LATE)
    });
    let services = [QUEUE.service; 8];
    let rig = Rig::start(2, &services, &[QUEUE], lateness)?;
    let body = rig::job(WORK_MS, WORK_MS, 1, 1);
    let (record, entry) = (&*rig.record, &rig.entries[0]);
    let is_answered = thread::scope(|scope| {
        let client = scope.spawn(|| {
            let result = rig::send(record, entry, &QUEUE, "POST", ID, DEADLINE_MS, &body);
            result.is_ok_and(|response| response.status() == 200)
        });
        thread::sleep(CRASH_AFTER);
        let executor = *first.lock().unwrap();
        if let Some(executor) = executor.filter(|_| has_trouble) {
            rig.executors[executor].crash();
            thread::sleep(DOWN);
            let _ = rig.executors[executor].start();
        }
        client.join().unwrap_or(false)
    });
    thread::sleep(Duration::from_millis(500));
    let verdict = match verdict_on_overlaps(record) {
        Verdict::Held if !is_answered => Verdict::NotRun("the job was not served".to_owned()),
        verdict => verdict,
    };
    Ok((Arc::clone(&rig.record), verdict))
}
