//! Bounds the memory that kept results take.

use std::collections::VecDeque;

use crate::table::{Table, TaskRef};
use crate::task::{Delivery, State, Task};

/// Results that may be dropped, in the order in which they became so.
#[derive(Debug, Default)]
pub(crate) struct Results {
    settled: VecDeque<TaskRef>,
    received: VecDeque<TaskRef>,
}

impl Results {
    pub fn add_settled(&mut self, at: TaskRef) {
        self.settled.push_back(at);
    }

    pub fn add_received(&mut self, at: TaskRef) {
        self.received.push_back(at);
    }

    /// Drops results until they take at most `max_bytes` or only undelivered ones are left;
    /// returns how many were dropped.
    pub fn evict(&mut self, table: &mut Table, max_bytes: usize) -> u64 {
        let mut dropped = 0;
        while table.result_bytes() > max_bytes {
            let Some(at) = self
                .settled
                .pop_front()
                .or_else(|| self.received.pop_front())
            else {
                break;
            };
            dropped += u64::from(table.update(at, drop_result).unwrap_or(false));
        }
        dropped
    }

    /// Forgets results whose records are gone.
    pub fn trim(&mut self, table: &Table) {
        for queue in [&mut self.settled, &mut self.received] {
            while queue.front().is_some_and(|&at| table.task(at).is_none()) {
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
