//! The table of jobs and tasks that an agent has seen.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use model::{CLOCK_SKEW_MS, JobKey, JobMeta, RETENTION_MS, ShardKey, TaskKey};
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::task::{Delivery, State, Task};

/// Time for which a record is kept after the submission of its job.
pub(crate) const RECORD_RETENTION_MS: u64 = RETENTION_MS + 2 * CLOCK_SKEW_MS;

slotmap::new_key_type! {
    /// Identifies a job in the table.
    pub(crate) struct JobSlot;
}

/// Locates a task in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TaskSlot {
    pub job: JobSlot,
    pub index: u16,
}

/// A job with the records of its tasks at this agent.
#[derive(Debug)]
pub(crate) struct Job {
    pub key: JobKey,
    pub shard: ShardKey,
    /// `None` if the agent received only revocations for the job.
    pub meta: Option<JobMeta>,
    pub expires_unix_ms: u64,
    pub is_settled: bool,
    /// Sorted by index.
    pub tasks: Vec<Task>,
}

impl Job {
    pub fn task_key(&self, index: u16) -> TaskKey {
        TaskKey {
            job: self.key,
            index,
        }
    }

    fn position(&self, index: u16) -> Result<usize, usize> {
        // Most jobs run entirely at one agent, where a task's position equals its index.
        match self.tasks.get(usize::from(index)) {
            Some(task) if task.index == index => Ok(usize::from(index)),
            _ => self.tasks.binary_search_by_key(&index, |task| task.index),
        }
    }

    fn has_active_tasks(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| matches!(task.state, State::Queued(_) | State::Running(_)))
    }

    fn has_outcome(&self, delivery: Delivery) -> bool {
        self.tasks
            .iter()
            .any(|task| matches!(&task.state, State::Finished(done) if done.delivery == delivery))
    }
}

/// All jobs, with running totals over their tasks.
#[derive(Debug, Default)]
pub(crate) struct Table {
    jobs: SlotMap<JobSlot, Job>,
    by_key: FxHashMap<JobKey, JobSlot>,
    expiries: BinaryHeap<Reverse<(u64, JobSlot)>>,
    records: usize,
    unacknowledged: usize,
    result_bytes: usize,
}

impl Table {
    pub fn records(&self) -> usize {
        self.records
    }

    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged
    }

    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub fn find(&self, key: JobKey) -> Option<JobSlot> {
        self.by_key.get(&key).copied()
    }

    pub fn job(&self, job_slot: JobSlot) -> Option<&Job> {
        self.jobs.get(job_slot)
    }

    pub fn job_mut(&mut self, job_slot: JobSlot) -> Option<&mut Job> {
        self.jobs.get_mut(job_slot)
    }

    pub fn insert_job(&mut self, key: JobKey, shard: ShardKey, expires_unix_ms: u64) -> JobSlot {
        let job_slot = self.jobs.insert(Job {
            key,
            shard,
            meta: None,
            expires_unix_ms,
            is_settled: false,
            tasks: Vec::new(),
        });
        self.by_key.insert(key, job_slot);
        self.expiries.push(Reverse((expires_unix_ms, job_slot)));
        job_slot
    }

    pub fn task(&self, task_slot: TaskSlot) -> Option<&Task> {
        let job = self.jobs.get(task_slot.job)?;
        job.position(task_slot.index)
            .ok()
            .map(|position| &job.tasks[position])
    }

    /// Adds a record for a task unless it has one.
    pub fn ensure_task(&mut self, task_slot: TaskSlot) {
        let Some(job) = self.jobs.get_mut(task_slot.job) else {
            return;
        };
        if let Err(position) = job.position(task_slot.index) {
            job.tasks.insert(position, Task::new(task_slot.index));
            self.records += 1;
        }
    }

    /// Applies `change` to a task and updates the totals.
    pub fn update<R>(
        &mut self,
        task_slot: TaskSlot,
        change: impl FnOnce(&mut Task) -> R,
    ) -> Option<R> {
        let job = self.jobs.get_mut(task_slot.job)?;
        let position = job.position(task_slot.index).ok()?;
        let task = &mut job.tasks[position];
        let was_unacknowledged = usize::from(task.unacknowledged().is_some());
        let bytes_before = task.result_bytes();
        let result = change(task);
        let is_unacknowledged = usize::from(task.unacknowledged().is_some());
        self.unacknowledged = self.unacknowledged + is_unacknowledged - was_unacknowledged;
        self.result_bytes = self.result_bytes + task.result_bytes() - bytes_before;
        Some(result)
    }

    /// Removes jobs whose retention period is over and returns their slots and shards.
    ///
    /// A job with queued or running tasks or an unacknowledged outcome is kept. A job with an
    /// outcome that was reported in an answer to a fence is kept for a second period.
    pub fn remove_expired(&mut self, now_unix_ms: u64) -> Vec<(JobSlot, ShardKey)> {
        let mut removed = Vec::new();
        while let Some(&Reverse((due_unix_ms, job_slot))) = self.expiries.peek() {
            if due_unix_ms > now_unix_ms {
                break;
            }
            self.expiries.pop();
            let Some(job) = self.jobs.get(job_slot) else {
                continue;
            };
            if let Some(retry_unix_ms) = postponed_expiry_unix_ms(job, now_unix_ms) {
                self.expiries.push(Reverse((retry_unix_ms, job_slot)));
                continue;
            }
            removed.push((job_slot, job.shard));
            self.remove_job(job_slot);
        }
        removed
    }

    fn remove_job(&mut self, job_slot: JobSlot) {
        let Some(job) = self.jobs.remove(job_slot) else {
            return;
        };
        self.by_key.remove(&job.key);
        self.records -= job.tasks.len();
        for task in &job.tasks {
            self.unacknowledged -= usize::from(task.unacknowledged().is_some());
            self.result_bytes -= task.result_bytes();
        }
    }
}

/// Returns when to check a due job again, or `None` if it may be removed now.
fn postponed_expiry_unix_ms(job: &Job, now_unix_ms: u64) -> Option<u64> {
    if job.expires_unix_ms > now_unix_ms {
        return Some(job.expires_unix_ms);
    }
    if job.has_active_tasks() || job.has_outcome(Delivery::Unacknowledged) {
        return Some(now_unix_ms + RETENTION_MS);
    }
    let last_unix_ms = job.expires_unix_ms.saturating_add(RETENTION_MS);
    (job.has_outcome(Delivery::Fenced) && last_unix_ms > now_unix_ms).then_some(last_unix_ms)
}
