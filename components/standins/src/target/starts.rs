//! Log of task starts, which detects duplicate starts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use targets::TaskId;

/// Start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// Name of the firm.
    pub firm: String,
    /// ID of the job.
    pub job_id: String,
    /// Index of the task in the job, from zero.
    pub index: u16,
    /// Number of the attempt to place the task on a target.
    pub attempt: u32,
    /// Time from the start of the stand-in to the start of the task, in milliseconds.
    pub started_ms: u64,
}

/// All task starts and the duplicate ones among them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// All starts in order.
    pub starts: Vec<StartRecord>,
    /// Starts of tasks that had already been started.
    pub doubled: Vec<StartRecord>,
}

#[derive(Default)]
pub(super) struct StartLog {
    starts: Starts,
    counts: BTreeMap<(String, String, u16), u32>,
}

impl StartLog {
    pub(super) fn record(&mut self, id: &TaskId, started_ms: u64) {
        let record = StartRecord {
            firm: id.firm.clone(),
            job_id: id.job_id.clone(),
            index: id.index,
            attempt: id.attempt,
            started_ms,
        };
        let task = (id.firm.clone(), id.job_id.clone(), id.index);
        let count = self.counts.entry(task).or_default();
        *count += 1;
        if *count > 1 {
            self.starts.doubled.push(record.clone());
        }
        self.starts.starts.push(record);
    }

    pub(super) fn starts(&self) -> &Starts {
        &self.starts
    }
}
