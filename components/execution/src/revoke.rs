//! Taking back tasks that have not started.

use model::{AgentMessage, Attempt, CLOCK_SKEW_MS, Generation, ProcessKey, RefusalReason};
use model::{ShardKey, TaskKey};

use crate::actions::AgentAction;
use crate::agent::Agent;
use crate::delivery::{finished, refused};
use crate::fence::Authority;
use crate::table::{RECORD_RETENTION_MS, TaskRef};
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
            if let Some(at) = self.ensure_revoked(shard, key) {
                self.revoke_task(from, shard, (key, at), attempt);
                if abort {
                    self.abort(at, attempt, actions);
                }
            }
        }
    }

    /// Returns the record of a task, made now if the task was never seen.
    fn ensure_revoked(&mut self, shard: ShardKey, key: TaskKey) -> Option<TaskRef> {
        let job = match self.table.find(key.job) {
            Some(job) => job,
            None if key.job.firm == shard.firm && self.has_record_left() => {
                // Covers a start still in flight, which cannot be dated later than this.
                let submitted_unix_ms = self.now_unix_ms + CLOCK_SKEW_MS;
                self.insert_job(key.job, shard, submitted_unix_ms + RECORD_RETENTION_MS)
            }
            None => {
                self.counters.firm(shard.firm).unrecorded += 1;
                return None;
            }
        };
        let at = TaskRef {
            job,
            index: key.index,
        };
        if self.table.job(job)?.shard != shard {
            self.counters.firm(shard.firm).misplaced += 1;
            return None;
        }
        self.record_task(at).then_some(at)
    }

    fn revoke_task(
        &mut self,
        to: ProcessKey,
        shard: ShardKey,
        (key, at): (TaskKey, TaskRef),
        attempt: Attempt,
    ) {
        self.dequeue_revoked(at, attempt);
        let Some(task) = self.table.task(at) else {
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
            State::Finished(_) => finished(shard, key, task),
            State::Idle { .. } | State::Queued(_) => {
                let newest = self.table.update(at, |task| {
                    if let State::Idle { unacknowledged } = &mut task.state {
                        *unacknowledged = None;
                    }
                    task.raise_tombstone(attempt)
                });
                self.counters
                    .firm(shard.firm)
                    .count_refusal(RefusalReason::Revoked);
                newest.map(|newest| refused(shard, key, newest, RefusalReason::Revoked))
            }
        };
        if let Some(message) = message {
            self.outbox.push(to, message);
        }
    }

    /// Takes a task out of the queue unless it waits under a later attempt.
    fn dequeue_revoked(&mut self, at: TaskRef, attempt: Attempt) {
        let state = self.table.task(at).map(|task| &task.state);
        if matches!(state, Some(State::Queued(queued)) if queued.attempt <= attempt) {
            self.dequeue(at);
        }
    }

    fn abort(&mut self, at: TaskRef, attempt: Attempt, actions: &mut Vec<AgentAction>) {
        let call = self.table.update(at, |task| match &mut task.state {
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
