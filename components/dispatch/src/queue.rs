//! Waiting jobs of one shard and group, in the order in which they are served.

use std::collections::BTreeMap;

use crate::arrivals::Arrivals;
use crate::job::{Job, JobSlot};
use crate::rules::Order;
use crate::throughput::Throughput;

/// Waiting jobs, the next one first.
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
    /// Puts a job in, or moves it to its present rank.
    pub fn insert(&mut self, slot: JobSlot, job: &mut Job, order: Order) {
        self.remove(job);
        if job.is_untouched() && job.waiting.len() == job.tasks.len() {
            self.arrivals.note(job.work_us, job.admitted_us);
        }
        let rank = Standing::of(job).rank(order);
        job.queue_rank = Some(rank);
        self.jobs.insert((rank, job.arrival), slot);
    }

    /// Takes a job out; its waiting tasks are no longer counted by the caller's leave.
    pub fn remove(&mut self, job: &mut Job) {
        if let Some(rank) = job.queue_rank.take() {
            self.jobs.remove(&(rank, job.arrival));
        }
    }

    pub fn first(&self) -> Option<JobSlot> {
        self.jobs.values().next().copied()
    }

    /// Lists the jobs that are served before one of the given rank that comes last.
    pub fn before(&self, rank: u64) -> impl Iterator<Item = JobSlot> {
        self.jobs.range(..=(rank, u64::MAX)).map(|(_, slot)| *slot)
    }

    /// Counts tasks that begin to wait.
    pub fn count_in(&mut self, tasks: u32, work_us: u64) {
        self.waiting_tasks += tasks;
        self.work_us += work_us;
    }

    /// Counts tasks that no longer wait.
    pub fn count_out(&mut self, tasks: u32, work_us: u64) {
        self.waiting_tasks = self.waiting_tasks.saturating_sub(tasks);
        self.work_us = self.work_us.saturating_sub(work_us);
        if self.waiting_tasks == 0 {
            self.work_us = 0;
            self.throughput.drained();
        }
    }
}

/// What decides about a job's rank.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    pub admitted_us: u64,
    pub deadline_us: u64,
    pub work_us: u64,
}

impl Standing {
    fn of(job: &Job) -> Self {
        Self {
            admitted_us: job.admitted_us,
            deadline_us: job.deadline_us,
            work_us: job.work_us,
        }
    }

    /// Returns the rank; jobs with lower ranks are served first.
    pub fn rank(self, order: Order) -> u64 {
        match order {
            Order::Fifo => 0,
            Order::EarliestDeadline => self.deadline_us,
            // Waiting counts against the work, so a large job is not passed for ever.
            Order::ShortestRemaining => self.admitted_us + 2 * self.work_us,
        }
    }
}
