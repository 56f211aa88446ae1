//! A job takes longer than its caller waits. The entry answers 504 and stops the run, but the executor
//! leaves the stops unanswered. The caller sends the job again after 1,300 ms, at another entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict, verdict_on_overlaps};
use crate::executor::{Lateness, Order};
use crate::rig::{self, QUEUE, RESEND_INTERVAL_MS, Rig};

const ID: &str = "5c0e7a21d94b36f8";

const WORK_MS: u64 = 4_000;

/// What the client declares; its estimate is rough.
const ESTIMATE_MS: u64 = 900;

const DEADLINE_MS: u64 = 1_500;

/// How late an unanswered order is carried out: 2 to 12 s.
const LATE: Duration = Duration::from_millis(3_000);

pub fn run(has_trouble: bool) -> Outcome {
    let lateness: Lateness = Arc::new(move |order: &Order| {
        let is_late = has_trouble && !order.is_start && order.task.starts_with(ID);
        is_late.then_some(LATE)
    });
    let services = [QUEUE.service; 3];
    let rig = Rig::start(2, &services, &[QUEUE], lateness)?;
    let body = rig::job(WORK_MS, ESTIMATE_MS, 1, 1);
    let record = &*rig.record;
    let is_over = AtomicBool::new(false);
    let statuses = thread::scope(|scope| {
        // Usual traffic beside the job.
        scope.spawn(|| {
            let usual = rig::job(100, 100, 1, 16);
            let mut number = 0_u64;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{number:016x}");
                let _ = rig::send(record, &rig.entries[1], &QUEUE, "POST", &id, 1_500, &usual);
                thread::sleep(Duration::from_millis(50));
            }
        });
        let mut statuses = Vec::new();
        for entry in &rig.entries {
            let result = rig::send(record, entry, &QUEUE, "POST", ID, DEADLINE_MS, &body);
            statuses.push(result.as_ref().map_or(0, |response| response.status()));
            if !rig::is_sent_again(&result) {
                break;
            }
            thread::sleep(Duration::from_millis(RESEND_INTERVAL_MS));
        }
        is_over.store(true, Ordering::SeqCst);
        statuses
    });
    let mut is_over_half = false;
    for executor in &rig.executors {
        let (orders, late) = executor.counts();
        is_over_half |= 2 * late > orders;
        let id = executor.id();
        record.line(format!("{id} left {late} of {orders} orders unanswered"));
    }
    let verdict = match verdict_on_overlaps(record) {
        Verdict::Held if statuses.len() < 2 => {
            Verdict::NotRun(format!("the job was not sent again: {statuses:?}"))
        }
        Verdict::Broken(_) if is_over_half => {
            Verdict::NotRun("more than half of the orders to an executor were late".to_owned())
        }
        verdict => verdict,
    };
    Ok((Arc::clone(&rig.record), verdict))
}
