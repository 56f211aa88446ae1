//! Ideal response time of a job: the makespan of its tasks on idle targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Capacity of one target.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Tasks that the target runs at the same time.
    pub slots: u16,
    /// Run time relative to a target of slowness one.
    pub slowness: f64,
}

/// Returns the makespan of the tasks on idle targets, without message delays.
///
/// Each task, the longest first, goes to the slot that finishes it first. Without targets the
/// makespan is `u64::MAX`.
#[must_use]
pub fn makespan_us(tasks_us: &[u64], targets: &[Capacity]) -> u64 {
    let mut sorted = tasks_us.to_vec();
    sorted.sort_unstable_by_key(|&task_us| Reverse(task_us));
    // Slots of one target are equal, so only its earliest free slot is compared.
    let mut free: Vec<BinaryHeap<Reverse<u64>>> = targets
        .iter()
        .map(|target| (0..target.slots).map(|_| Reverse(0)).collect())
        .collect();
    let mut last_us = 0;
    for task_us in sorted {
        let best = free
            .iter()
            .zip(targets)
            .enumerate()
            .filter_map(|(at, (slots, target))| {
                let Reverse(free_us) = *slots.peek()?;
                Some((free_us + run_us(task_us, target.slowness), at))
            })
            .min();
        let Some((end_us, at)) = best else {
            return u64::MAX;
        };
        free[at].pop();
        free[at].push(Reverse(end_us));
        last_us = last_us.max(end_us);
    }
    last_us
}

/// Returns the run time of a task at a target.
#[must_use]
pub fn run_us(work_us: u64, slowness: f64) -> u64 {
    (work_us as f64 * slowness) as u64
}
