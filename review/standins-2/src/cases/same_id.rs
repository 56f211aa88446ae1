//! Two clients choose the same id for jobs in two queues.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Outcome, Verdict};
use crate::executor::Lateness;
use crate::rig::{self, OTHER_QUEUE, QUEUE, Rig};

const ID: &str = "5c0e7a21d94b36f8";

const OTHER_ID: &str = "0123456789abcdef";

pub fn run(has_trouble: bool) -> Outcome {
    let lateness: Lateness = Arc::new(|_| None);
    let services = [QUEUE.service, QUEUE.service, OTHER_QUEUE.service];
    let rig = Rig::start(1, &services, &[QUEUE, OTHER_QUEUE], lateness)?;
    let record = &*rig.record;
    let body = rig::job(300, 300, 1, 1);
    let entry = &rig.entries[0];
    let first = rig::send(record, entry, &QUEUE, "POST", ID, 1_500, &body)?;
    let id = if has_trouble { ID } else { OTHER_ID };
    let second = rig::send(record, entry, &OTHER_QUEUE, "POST", id, 1_500, &body)?;
    thread::sleep(Duration::from_millis(500));
    let ends = record.ends_of(id);
    let is_run = ends.iter().any(|(_, _, executor, how)| executor == "i-3" && how == "done");
    let is_completed = second.status() == 200 && second.body.contains("completed");
    let verdict = if first.status() != 200 {
        Verdict::NotRun("the first job was not served".to_owned())
    } else if is_completed && !is_run {
        let text = "MIXED: a job is shown as completed, and none of its tasks has run";
        Verdict::Broken(text.to_owned())
    } else {
        Verdict::Held
    };
    Ok((Arc::clone(&rig.record), verdict))
}
