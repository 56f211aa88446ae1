//! Waiting jobs of one shard and group, in the order in which they are served.

use std::collections::BTreeMap;

use crate::job::{Job, JobSlot};
use crate::rules::Order;

/// Waiting jobs, the next one first.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<(u64, u64), JobSlot>,
    pub waiting_tasks: u32,
    /// Estimated work of the waiting tasks, in microseconds.
    pub work_us: u64,
}

impl Queue {
    /// Puts a job in, or moves it to its present rank.
    pub fn insert(&mut self, slot: JobSlot, job: &mut Job, order: Order) {
        self.remove(job);
        let rank = rank(job, order);
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
        }
    }
}

fn rank(job: &Job, order: Order) -> u64 {
    match order {
        Order::Fifo => 0,
        Order::EarliestDeadline => job.deadline_us,
        // Waiting counts against the work that is left, so a large job is not passed for ever.
        Order::ShortestRemaining => job.admitted_us + 2 * job.work_us,
    }
}
