//! Jobs and tasks in progress at their owner.

use bytes::Bytes;
use model::{Attempt, JobMeta, JobSpec, KindKey, TaskSpec};
use slotmap::new_key_type;

use crate::action::WaiterKey;
use crate::agents::AgentKey;

new_key_type! {
    /// Locates a job in progress in its shard's arena.
    pub struct JobSlot;
}

/// A job that has not been answered yet.
#[derive(Debug)]
pub struct Job {
    pub meta: JobMeta,
    pub arrival: u64,
    pub admitted_us: u64,
    pub deadline_us: u64,
    pub tasks: Vec<Task>,
    pub waiters: Vec<WaiterKey>,
    pub unfinished: u16,
    /// Indexes of the tasks that wait to be sent; the last one is sent first.
    pub waiting: Vec<u16>,
    /// Whether the payloads are available; after a takeover they are missing until a caller
    /// resubmits the job.
    pub has_payloads: bool,
    /// Estimated work of all tasks at admission, in microseconds; zero for a recovered job.
    pub work_us: u64,
    /// Date of the newest submission refused because it had this job's id and another body.
    pub conflict_unix_ms: u64,
    /// Rank under which the job is in its queue, if it is.
    pub queue_rank: Option<u64>,
}

/// A task of a job in progress.
#[derive(Debug)]
pub struct Task {
    pub kind: KindKey,
    pub declared_us: u64,
    pub payload: Bytes,
    pub attempt: Attempt,
    pub attempts_made: u32,
    pub phase: TaskPhase,
    pub avoid_agent: Option<AgentKey>,
}

/// Progress of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskPhase {
    /// At no agent as far as is known; an agent that has not answered the fence yet may hold it.
    Waiting,
    /// Sent to an agent, which may have started it.
    Sent {
        agent: AgentKey,
        sent_us: u64,
        acknowledged: bool,
    },
    /// Finished with a result.
    Done(Bytes),
}

impl Job {
    pub fn new(spec: JobSpec, arrival: u64, now_us: u64, now_unix_ms: u64) -> Self {
        let tasks: Vec<Task> = spec.tasks.into_iter().map(Task::new).collect();
        let mut job = Self::without_tasks(spec.meta, arrival, now_us, now_unix_ms);
        job.unfinished = tasks.len() as u16;
        job.waiting = (0..job.unfinished).rev().collect();
        job.tasks = tasks;
        job.has_payloads = true;
        job
    }

    /// Builds a job recovered from agents or a table, without payloads.
    pub fn recovered(meta: JobMeta, arrival: u64, now_us: u64, now_unix_ms: u64) -> Self {
        let count = meta.task_count;
        let mut job = Self::without_tasks(meta, arrival, now_us, now_unix_ms);
        job.tasks = (0..count).map(|_| Task::unknown()).collect();
        job.unfinished = count;
        job
    }

    fn without_tasks(meta: JobMeta, arrival: u64, now_us: u64, now_unix_ms: u64) -> Self {
        let remaining_ms = meta.deadline_unix_ms.saturating_sub(now_unix_ms);
        Self {
            meta,
            arrival,
            admitted_us: now_us,
            deadline_us: now_us + remaining_ms * 1_000,
            tasks: Vec::new(),
            waiters: Vec::new(),
            unfinished: 0,
            waiting: Vec::new(),
            has_payloads: false,
            work_us: 0,
            conflict_unix_ms: 0,
            queue_rank: None,
        }
    }

    /// Sets the payloads from a resubmission, if they are missing.
    pub fn set_payloads(&mut self, tasks: Vec<TaskSpec>) {
        if self.has_payloads {
            return;
        }
        for (task, spec) in self.tasks.iter_mut().zip(tasks) {
            task.kind = spec.kind;
            task.declared_us = spec.declared_us;
            task.payload = spec.payload;
        }
        self.has_payloads = true;
    }

    /// Returns the newest attempt of any task.
    pub fn last_attempt(&self) -> Attempt {
        self.tasks
            .iter()
            .map(|task| task.attempt)
            .max()
            .unwrap_or_default()
    }

    /// Sets the last attempt of all tasks, so that their next attempts are newer.
    pub fn skip_attempts_through(&mut self, attempt: Attempt) {
        for task in &mut self.tasks {
            task.attempt = attempt;
        }
    }

    /// Returns whether all tasks are waiting. Until fencing ends, an agent may still hold some of
    /// them.
    pub fn has_only_waiting_tasks(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| task.phase == TaskPhase::Waiting)
    }
}

impl Task {
    fn new(spec: TaskSpec) -> Self {
        Self {
            kind: spec.kind,
            declared_us: spec.declared_us,
            payload: spec.payload,
            attempt: Attempt(0),
            attempts_made: 0,
            phase: TaskPhase::Waiting,
            avoid_agent: None,
        }
    }

    fn unknown() -> Self {
        Self::new(TaskSpec {
            kind: KindKey(0),
            declared_us: 0,
            payload: Bytes::new(),
        })
    }
}
