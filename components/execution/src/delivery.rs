//! Delivery of outcomes and refusals, which are resent until the owner acknowledges them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use model::{
    AgentMessage, Attempt, JobKey, ProcessKey, RefusalReason, ShardKey, TaskKey, TaskOutcome,
};

use crate::agent::Agent;
use crate::table::{JobSlot, Table, TaskSlot};
use crate::task::{Delivery, State, Task};

const MIN_RESEND_US: u64 = 500_000;
const MAX_RESEND_US: u64 = 4_000_000;

/// Outcome or refusal that is resent at `due_us` unless acknowledged by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Resend {
    due_us: u64,
    task_slot: TaskSlot,
    attempt: Attempt,
    interval_us: u64,
}

impl Resend {
    fn is_current(&self, table: &Table) -> bool {
        table.task(self.task_slot).and_then(Task::unacknowledged) == Some(self.attempt)
    }
}

/// Outcomes and refusals in the order of their resend times.
#[derive(Debug, Default)]
pub(crate) struct ResendQueue {
    heap: BinaryHeap<Reverse<Resend>>,
}

impl ResendQueue {
    pub fn schedule(&mut self, now_us: u64, task_slot: TaskSlot, attempt: Attempt) {
        self.push(now_us, task_slot, attempt, MIN_RESEND_US);
    }

    pub fn next_due_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse(resend)| resend.due_us)
    }

    fn push(&mut self, now_us: u64, task_slot: TaskSlot, attempt: Attempt, interval_us: u64) {
        let due_us = now_us + interval_us;
        self.heap.push(Reverse(Resend {
            due_us,
            task_slot,
            attempt,
            interval_us,
        }));
    }

    fn pop_due(&mut self, now_us: u64) -> Option<Resend> {
        let &Reverse(resend) = self.heap.peek()?;
        if resend.due_us > now_us {
            return None;
        }
        self.heap.pop();
        Some(resend)
    }

    /// Removes acknowledged or superseded entries from the top of the heap.
    fn prune(&mut self, table: &Table) {
        while self
            .heap
            .peek()
            .is_some_and(|Reverse(resend)| !resend.is_current(table))
        {
            self.heap.pop();
        }
    }
}

impl Agent {
    pub(crate) fn resend_due(&mut self) {
        while let Some(resend) = self.resends.pop_due(self.now_us) {
            if !resend.is_current(&self.table) {
                continue;
            }
            self.resend(resend.task_slot);
            let interval_us = (resend.interval_us * 2).min(MAX_RESEND_US);
            self.resends
                .push(self.now_us, resend.task_slot, resend.attempt, interval_us);
        }
    }

    /// Resends the outcome or the refusal of a task to the owner of its shard.
    pub(crate) fn resend(&mut self, task_slot: TaskSlot) {
        let Some((shard, message)) = self.outcome_message(task_slot) else {
            return;
        };
        let Some(owner) = self.owner(shard) else {
            return;
        };
        self.counters.firm(shard.firm).resent += 1;
        self.outbox.push(owner, message);
    }

    fn outcome_message(&self, task_slot: TaskSlot) -> Option<(ShardKey, AgentMessage)> {
        let job = self.table.job(task_slot.job)?;
        let (shard, key) = (job.shard, job.task_key(task_slot.index));
        let task = self.table.task(task_slot)?;
        let message = match &task.state {
            State::Idle {
                unacknowledged: Some((_, reason)),
            } => refused_message(shard, key, task.tombstoned?, *reason),
            State::Finished(_) => finished_message(shard, key, task)?,
            _ => return None,
        };
        Some((shard, message))
    }

    /// Refuses a queued task and resends the refusal until the owner acknowledges it.
    pub(crate) fn refuse_queued(&mut self, task_slot: TaskSlot, reason: RefusalReason) {
        let Some(attempt) = self.dequeue(task_slot) else {
            return;
        };
        self.refuse_accepted(task_slot, attempt, reason);
    }

    /// Records and sends the refusal of a task that was accepted but did not start.
    pub(crate) fn refuse_accepted(
        &mut self,
        task_slot: TaskSlot,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        let Some(job) = self.table.job(task_slot.job) else {
            return;
        };
        let (shard, key, is_settled) = (job.shard, job.task_key(task_slot.index), job.is_settled);
        let newest = self.table.update(task_slot, |task| {
            let unacknowledged = (!is_settled).then_some((attempt, reason));
            task.state = State::Idle { unacknowledged };
            task.raise_tombstone(attempt)
        });
        let (Some(newest), Some(owner)) = (newest, self.owner(shard)) else {
            return;
        };
        self.counters.firm(shard.firm).count_refusal(reason);
        self.outbox
            .push(owner, refused_message(shard, key, newest, reason));
        if !is_settled {
            self.resends.schedule(self.now_us, task_slot, attempt);
        }
    }

    /// Removes a task from the queue and sets it to idle; returns its attempt.
    pub(crate) fn dequeue(&mut self, task_slot: TaskSlot) -> Option<Attempt> {
        let firm = self.table.job(task_slot.job)?.shard.firm;
        let idle = State::Idle {
            unacknowledged: None,
        };
        let State::Queued(queued) = &self.table.task(task_slot)?.state else {
            return None;
        };
        let (attempt, position) = (queued.attempt, (queued.deadline_us, queued.sequence));
        self.queue.remove(firm, position);
        self.table.update(task_slot, |task| task.state = idle);
        Some(attempt)
    }

    pub(crate) fn received(&mut self, from: ProcessKey, shard: ShardKey, tasks: &[TaskKey]) {
        if !self.is_owner(shard, from) {
            self.counters.firm(shard.firm).stale += 1;
            return;
        }
        for key in tasks {
            let Some(job) = self.find_job(shard, key.job) else {
                continue;
            };
            let task_slot = TaskSlot {
                job,
                index: key.index,
            };
            if self.acknowledge(task_slot) {
                self.results.add_received(task_slot);
            }
        }
        self.drop_excess_results();
        self.resends.prune(&self.table);
    }

    pub(crate) fn settle_job(&mut self, shard: ShardKey, key: JobKey) {
        let Some(job_slot) = self.find_job(shard, key) else {
            return;
        };
        let Some(job) = self.table.job_mut(job_slot) else {
            return;
        };
        job.is_settled = true;
        let indices: Vec<u16> = job.tasks.iter().map(|task| task.index).collect();
        for index in indices {
            let task = TaskSlot {
                job: job_slot,
                index,
            };
            self.acknowledge(task);
            if self
                .table
                .task(task)
                .is_some_and(|task| task.result_bytes() > 0)
            {
                self.results.add_settled(task);
            }
        }
        self.resends.prune(&self.table);
    }

    /// Marks the outcome or refusal of a task as acknowledged; returns whether its result may
    /// be dropped from now on.
    fn acknowledge(&mut self, task_slot: TaskSlot) -> bool {
        let result = self.table.update(task_slot, |task| match &mut task.state {
            State::Idle { unacknowledged } => {
                *unacknowledged = None;
                false
            }
            State::Finished(done) if done.delivery != Delivery::Received => {
                done.delivery = Delivery::Received;
                true
            }
            _ => false,
        });
        result.unwrap_or(false)
    }

    pub(crate) fn drop_excess_results(&mut self) {
        let max_bytes = self.settings.max_result_bytes;
        self.counters.process.results_dropped +=
            self.results.drop_excess(&mut self.table, max_bytes);
    }

    /// Returns the job with `key`, or `None` if it is unknown or belongs to another shard.
    pub(crate) fn find_job(&self, shard: ShardKey, key: JobKey) -> Option<JobSlot> {
        let job_slot = self.table.find(key)?;
        (self.table.job(job_slot)?.shard == shard).then_some(job_slot)
    }
}

pub(crate) fn refused_message(
    shard: ShardKey,
    task: TaskKey,
    attempt: Attempt,
    reason: RefusalReason,
) -> AgentMessage {
    AgentMessage::Refused {
        shard,
        task,
        attempt,
        reason,
    }
}

/// Builds the message for a finished task.
pub(crate) fn finished_message(shard: ShardKey, key: TaskKey, task: &Task) -> Option<AgentMessage> {
    let State::Finished(done) = &task.state else {
        return None;
    };
    let dropped = || TaskOutcome::Unknown("result no longer held".to_owned());
    Some(AgentMessage::Finished {
        shard,
        task: key,
        attempt: done.attempt,
        outcome: done.outcome.clone().unwrap_or_else(dropped),
        ran_us: done.ran_us,
    })
}
