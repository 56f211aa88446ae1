//! A job is cancelled at the entry that runs it. A copy of its request, which was held up on its way,
//! arrives at another entry seconds after the answer.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict, verdict_on_cancelled};
use crate::executor::Lateness;
use crate::rig::{self, QUEUE, Rig};

const ID: &str = "5c0e7a21d94b36f8";

const STEPS: usize = 6;

const WORK_MS: u64 = 500;

const DEADLINE_MS: u64 = 10_000;

/// How long after the answer the copy arrives.
const COPY_AFTER: Duration = Duration::from_millis(3_500);

pub fn run(has_trouble: bool) -> Outcome {
    let lateness: Lateness = Arc::new(|_| None);
    let services = [QUEUE.service; 3];
    let rig = Rig::start(2, &services, &[QUEUE], lateness)?;
    let body = rig::job(WORK_MS, WORK_MS, STEPS, 1);
    let record = &*rig.record;
    let [usual, other] = rig.entries.as_slice() else {
        unreachable!("two entries were started");
    };
    let acknowledged_ms = thread::scope(|scope| {
        let first = scope.spawn(|| {
            rig::send(record, usual, &QUEUE, "POST", ID, DEADLINE_MS, &body)
        });
        thread::sleep(Duration::from_millis(700));
        let response = rig::send(record, usual, &QUEUE, "DELETE", ID, 1_500, "")?;
        let acknowledged_ms = (response.status() / 100 == 2).then(|| record.now_ms());
        let is_answered = first
            .join()
            .is_ok_and(|result| result.is_ok_and(|response| response.status() / 100 == 2));
        thread::sleep(COPY_AFTER);
        if has_trouble {
            record.line("a copy of the request arrives late");
            let _ = rig::send(record, other, &QUEUE, "POST", ID, DEADLINE_MS, &body);
        }
        std::io::Result::Ok(acknowledged_ms.filter(|_| is_answered))
    })?;
    let verdict = match acknowledged_ms {
        None => Verdict::NotRun("the cancellation was not acknowledged".to_owned()),
        Some(acknowledged_ms) => verdict_on_cancelled(record, ID, acknowledged_ms),
    };
    Ok((Arc::clone(&rig.record), verdict))
}
