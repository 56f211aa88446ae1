//! Revocation of tasks that have not started, and cancellation of running calls.

use model::{AgentMessage, Attempt, CLOCK_SKEW_MS, Generation, ProcessKey, RefusalReason};
use model::{ShardKey, TaskKey};

use crate::actions::AgentAction;
use crate::agent::Agent;
use crate::delivery::{finished_message, refused_message};
use crate::fence::Authority;
use crate::table::{RECORD_RETENTION_MS, TaskSlot};
use crate::task::State;

impl Agent {
    pub(crate) fn revoke(
        &mut self,
        from: ProcessKey,
        (shard, generation): (ShardKey, Generation),
        tasks: &[(TaskKey, Attempt)],
        abort: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        if self.authority(shard, generation, from) != Authority::Owner {
            self.counters.firm(shard.firm).stale += 1;
            return;
        }
        for &(key, attempt) in tasks {
            if let Some(task_slot) = self.find_or_record_task(shard, key) {
                self.revoke_task(from, shard, (key, task_slot), attempt);
                if abort {
                    self.abort(task_slot, attempt, actions);
                }
            }
        }
    }

    /// Returns the task, creating a record if it has none; `None` at the record limit or if the
    /// job belongs to another shard.
    fn find_or_record_task(&mut self, shard: ShardKey, key: TaskKey) -> Option<TaskSlot> {
        let job = match self.table.find(key.job) {
            Some(job) => job,
            None if key.job.firm == shard.firm && self.has_record_capacity() => {
                // Outlives a start in flight, whose submission time is at most this.
                let submitted_unix_ms = self.now_unix_ms + CLOCK_SKEW_MS;
                self.insert_job(key.job, shard, submitted_unix_ms + RECORD_RETENTION_MS)
            }
            None => {
                self.counters.firm(shard.firm).unrecorded += 1;
                return None;
            }
        };
        let task_slot = TaskSlot {
            job,
            index: key.index,
        };
        if self.table.job(job)?.shard != shard {
            self.counters.firm(shard.firm).misplaced += 1;
            return None;
        }
        self.record_task(task_slot).then_some(task_slot)
    }

    fn revoke_task(
        &mut self,
        to: ProcessKey,
        shard: ShardKey,
        (key, task_slot): (TaskKey, TaskSlot),
        attempt: Attempt,
    ) {
        self.dequeue_revoked(task_slot, attempt);
        let Some(task) = self.table.task(task_slot) else {
            return;
        };
        let message = match &task.state {
            State::Running(running) => {
                let attempt = running.attempt;
                Some(AgentMessage::RevokeFailed {
                    shard,
                    task: key,
                    attempt,
                })
            }
            State::Finished(_) => finished_message(shard, key, task),
            State::Idle { .. } | State::Queued(_) => {
                let newest = self.table.update(task_slot, |task| {
                    if let State::Idle { unacknowledged } = &mut task.state {
                        *unacknowledged = None;
                    }
                    task.raise_tombstone(attempt)
                });
                self.counters
                    .firm(shard.firm)
                    .count_refusal(RefusalReason::Revoked);
                newest.map(|newest| refused_message(shard, key, newest, RefusalReason::Revoked))
            }
        };
        if let Some(message) = message {
            self.outbox.push(to, message);
        }
    }

    /// Removes a task from the queue unless it is queued with a later attempt.
    fn dequeue_revoked(&mut self, task_slot: TaskSlot, attempt: Attempt) {
        let state = self.table.task(task_slot).map(|task| &task.state);
        if matches!(state, Some(State::Queued(queued)) if queued.attempt <= attempt) {
            self.dequeue(task_slot);
        }
    }

    fn abort(&mut self, task_slot: TaskSlot, attempt: Attempt, actions: &mut Vec<AgentAction>) {
        let call = self.table.update(task_slot, |task| match &mut task.state {
            State::Running(running) if running.attempt <= attempt && !running.aborted => {
                running.aborted = true;
                Some(running.call)
            }
            _ => None,
        });
        if let Some(call) = call.flatten() {
            actions.push(AgentAction::Abort { call });
        }
    }
}
