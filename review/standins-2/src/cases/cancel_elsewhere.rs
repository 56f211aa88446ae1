//! The connection of a client is reset while its job runs. The client sends the job again after
//! 1,300 ms, which reaches another entry, and then cancels it, which reaches its usual entry.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict, verdict_on_cancelled};
use crate::executor::Lateness;
use crate::http::Relay;
use crate::rig::{self, QUEUE, RESEND_INTERVAL_MS, Rig};

const ID: &str = "5c0e7a21d94b36f8";

const STEPS: usize = 14;

const WORK_MS: u64 = 500;

const DEADLINE_MS: u64 = 15_000;

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
        if has_trouble {
            let relay = Relay::start(rig::free_address(1)?, usual.callers)?;
            let address = (usual.name.as_str(), relay.address);
            let body = &body;
            let first = scope.spawn(move || {
                rig::send_to(record, address, &QUEUE, "POST", ID, DEADLINE_MS, body)
            });
            thread::sleep(Duration::from_millis(300));
            relay.reset();
            let is_broken = first.join().is_ok_and(|result| result.is_err());
            if !is_broken {
                return Err(io::Error::other("the connection did not break"));
            }
            thread::sleep(Duration::from_millis(RESEND_INTERVAL_MS));
        }
        let entry = if has_trouble { other } else { usual };
        let body = &body;
        scope.spawn(move || {
            let _ = rig::send(record, entry, &QUEUE, "POST", ID, DEADLINE_MS, body);
        });
        thread::sleep(Duration::from_millis(700));
        let response = rig::send(record, usual, &QUEUE, "DELETE", ID, 1_500, "")?;
        let is_acknowledged = response.status() / 100 == 2 || response.status() == 410;
        io::Result::Ok(is_acknowledged.then(|| record.now_ms()))
    })?;
    let verdict = match acknowledged_ms {
        None => Verdict::NotRun("the cancellation was not acknowledged".to_owned()),
        Some(acknowledged_ms) => verdict_on_cancelled(record, ID, acknowledged_ms),
    };
    Ok((Arc::clone(&rig.record), verdict))
}
