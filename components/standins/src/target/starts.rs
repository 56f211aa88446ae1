//! Record of the tasks that were started.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use targets::TaskId;

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// Name of the firm.
    pub firm: String,
    /// Id of the job.
    pub job_id: String,
    /// Position of the task in the job.
    pub index: u16,
    /// Number of the placement.
    pub attempt: u32,
    /// Time of the start since the stand-in started, in milliseconds.
    pub started_ms: u64,
}

/// All starts in order, and those that came twice.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// Starts in order.
    pub starts: Vec<StartRecord>,
    /// Starts of tasks that had been started before.
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
