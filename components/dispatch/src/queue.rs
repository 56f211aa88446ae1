//! Priority queue of the waiting jobs of one shard and target group.

use std::collections::BTreeMap;

use crate::arrivals::Arrivals;
use crate::job::{Job, JobSlot};
use crate::rules::QueueOrder;
use crate::throughput::Throughput;

/// Waiting jobs, ordered by rank and then by arrival.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<(u64, u64), JobSlot>,
    pub waiting_tasks: u32,
    /// Estimated work of the waiting tasks, in microseconds.
    pub work_us: u64,
    pub arrivals: Arrivals,
    pub throughput: Throughput,
}

impl Queue {
    /// Inserts a job, or moves it to its current rank.
    pub fn insert(&mut self, slot: JobSlot, job: &mut Job, order: QueueOrder) {
        self.remove(job);
        if job.has_only_waiting_tasks() && job.waiting.len() == job.tasks.len() {
            self.arrivals.record_arrival(job.work_us, job.admitted_us);
        }
        let rank = RankInputs::of(job).rank(order);
        job.queue_rank = Some(rank);
        self.jobs.insert((rank, job.arrival), slot);
    }

    /// Removes a job. The caller subtracts its waiting tasks with [`Self::remove_waiting`].
    pub fn remove(&mut self, job: &mut Job) {
        if let Some(rank) = job.queue_rank.take() {
            self.jobs.remove(&(rank, job.arrival));
        }
    }

    pub fn first(&self) -> Option<JobSlot> {
        self.jobs.values().next().copied()
    }

    /// Returns the jobs that are served before a job that arrives now with the given rank.
    pub fn before(&self, rank: u64) -> impl Iterator<Item = JobSlot> {
        self.jobs.range(..=(rank, u64::MAX)).map(|(_, slot)| *slot)
    }

    /// Adds tasks that begin to wait.
    pub fn add_waiting(&mut self, tasks: u32, work_us: u64) {
        self.waiting_tasks += tasks;
        self.work_us += work_us;
    }

    /// Subtracts tasks that no longer wait.
    pub fn remove_waiting(&mut self, tasks: u32, work_us: u64) {
        self.waiting_tasks = self.waiting_tasks.saturating_sub(tasks);
        self.work_us = self.work_us.saturating_sub(work_us);
        if self.waiting_tasks == 0 {
            self.work_us = 0;
            self.throughput.backlog_cleared();
        }
    }
}

/// Inputs of a job's rank.
#[derive(Debug, Clone, Copy)]
pub struct RankInputs {
    pub admitted_us: u64,
    pub deadline_us: u64,
    pub work_us: u64,
}

impl RankInputs {
    fn of(job: &Job) -> Self {
        Self {
            admitted_us: job.admitted_us,
            deadline_us: job.deadline_us,
            work_us: job.work_us,
        }
    }

    /// Returns the rank; jobs with lower ranks are served first.
    pub fn rank(self, order: QueueOrder) -> u64 {
        match order {
            QueueOrder::Fifo => 0,
            QueueOrder::EarliestDeadline => self.deadline_us,
            // The admission time prevents starvation: later jobs stop overtaking a large one.
            QueueOrder::ShortestRemaining => self.admitted_us + 2 * self.work_us,
        }
    }
}
