//! Memory bound of stored results.

use std::collections::VecDeque;

use crate::table::{Table, TaskSlot};
use crate::task::{Delivery, State, Task};

/// Results that may be dropped, oldest first; those of settled jobs are dropped first.
#[derive(Debug, Default)]
pub(crate) struct DroppableResults {
    settled: VecDeque<TaskSlot>,
    received: VecDeque<TaskSlot>,
}

impl DroppableResults {
    pub fn add_settled(&mut self, task_slot: TaskSlot) {
        self.settled.push_back(task_slot);
    }

    pub fn add_received(&mut self, task_slot: TaskSlot) {
        self.received.push_back(task_slot);
    }

    /// Drops results until the stored ones take at most `max_bytes` or only undelivered ones are
    /// left; returns how many were dropped.
    pub fn drop_excess(&mut self, table: &mut Table, max_bytes: usize) -> u64 {
        let mut dropped = 0;
        while table.result_bytes() > max_bytes {
            let Some(task_slot) = self
                .settled
                .pop_front()
                .or_else(|| self.received.pop_front())
            else {
                break;
            };
            dropped += u64::from(table.update(task_slot, drop_result).unwrap_or(false));
        }
        dropped
    }

    /// Removes entries without a task record from the front of the queues.
    pub fn trim(&mut self, table: &Table) {
        for queue in [&mut self.settled, &mut self.received] {
            while queue
                .front()
                .is_some_and(|&task_slot| table.task(task_slot).is_none())
            {
                queue.pop_front();
            }
        }
    }
}

fn drop_result(task: &mut Task) -> bool {
    match &mut task.state {
        State::Finished(done) if done.delivery == Delivery::Received => {
            done.outcome.take().is_some()
        }
        _ => false,
    }
}
