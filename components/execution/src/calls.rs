//! Calls of the target: dispatch of queued tasks and handling of call outcomes.

use model::{RefusalReason, TaskOutcome};

use crate::actions::{AgentAction, CallKey, CallOutcome};
use crate::agent::Agent;
use crate::delivery::finished_message;
use crate::table::TaskRef;
use crate::task::{Delivery, FinishedTask, RunningTask, State};

impl Agent {
    /// Records how a call ended.
    ///
    /// An outcome of a call that is not in flight is counted and has no other effect.
    pub fn call_ended(
        &mut self,
        now_us: u64,
        call: CallKey,
        outcome: CallOutcome,
        actions: &mut Vec<AgentAction>,
    ) {
        self.advance(now_us);
        match self.calls.remove(call) {
            Some(task_ref) => self.end_call(task_ref, outcome),
            None => self.counters.process.late_outcomes += 1,
        }
        self.dispatch_and_send(actions);
    }

    pub(crate) fn dispatch(&mut self, actions: &mut Vec<AgentAction>) {
        let limit = usize::from(self.target.call_limit(self.now_us));
        while self.calls.len() < limit {
            let Some((_, task_ref)) = self.queue.peek() else {
                break;
            };
            self.invoke(task_ref, actions);
        }
    }

    fn invoke(&mut self, task_ref: TaskRef, actions: &mut Vec<AgentAction>) {
        let call = self.calls.insert(task_ref);
        let started_us = self.now_us;
        let queued = self.table.update(task_ref, |task| {
            let idle = State::Idle {
                unacknowledged: None,
            };
            let State::Queued(queued) = std::mem::replace(&mut task.state, idle) else {
                unreachable!("only queued tasks are in the queue");
            };
            task.state = State::Running(RunningTask {
                attempt: queued.attempt,
                call,
                started_us,
                cost_us: queued.cost_us,
                aborted: false,
            });
            queued
        });
        let (Some(queued), Some(job)) = (queued, self.table.job(task_ref.job)) else {
            unreachable!("records of queued tasks are kept");
        };
        let firm = job.shard.firm;
        self.queue
            .remove(firm, (queued.deadline_us, queued.sequence));
        self.queue.charge(firm, queued.cost_us);
        self.counters.firm(firm).invoked += 1;
        let remaining_us = queued.deadline_us.saturating_sub(self.now_us);
        actions.push(AgentAction::Invoke {
            call,
            task: job.task_key(task_ref.index),
            attempt: queued.attempt,
            job_id: job
                .meta
                .as_ref()
                .map_or_else(String::new, |meta| meta.id.clone()),
            firm,
            payload: queued.payload,
            timeout_us: remaining_us.min(self.settings.call_timeout_us),
            expires_us: queued.deadline_us,
        });
    }

    fn end_call(&mut self, task_ref: TaskRef, outcome: CallOutcome) {
        let Some(&State::Running(running)) = self.table.task(task_ref).map(|task| &task.state)
        else {
            return;
        };
        if self.calls.is_empty() {
            self.no_calls_since_us = self.now_us;
        }
        let outcome = match outcome {
            CallOutcome::NotStarted(_) => return self.end_not_started(task_ref, running),
            CallOutcome::Done(result) => TaskOutcome::Done(result),
            CallOutcome::Failed(detail) => TaskOutcome::Failed(detail),
            CallOutcome::Unknown(detail) => TaskOutcome::Unknown(detail),
        };
        // A connection that broke during a call does not show whether a new one can be opened.
        if !matches!(outcome, TaskOutcome::Unknown(_)) {
            self.target.record_started();
        }
        self.finish(task_ref, running, outcome);
    }

    fn end_not_started(&mut self, task_ref: TaskRef, running: RunningTask) {
        if let Some(job) = self.table.job(task_ref.job) {
            let firm = job.shard.firm;
            self.queue.correct_charge(firm, running.cost_us, 0);
            self.counters.firm(firm).not_started += 1;
        }
        let reason = if running.aborted {
            RefusalReason::Revoked
        } else {
            self.target.record_not_started(self.now_us);
            self.not_started_reason()
        };
        self.refuse_accepted(task_ref, running.attempt, reason);
    }

    fn not_started_reason(&self) -> RefusalReason {
        if self.target.info().is_none() || self.target.is_failing() {
            RefusalReason::TargetDown
        } else {
            RefusalReason::TargetRefused
        }
    }

    fn finish(&mut self, task_ref: TaskRef, running: RunningTask, outcome: TaskOutcome) {
        let Some(job) = self.table.job(task_ref.job) else {
            return;
        };
        let (shard, key, is_settled) = (job.shard, job.task_key(task_ref.index), job.is_settled);
        let ran_us = self.now_us - running.started_us;
        self.queue
            .correct_charge(shard.firm, running.cost_us, ran_us);
        self.counters.firm(shard.firm).finished += 1;
        let delivery = if is_settled {
            Delivery::Received
        } else {
            Delivery::Unacknowledged
        };
        let message = self.table.update(task_ref, |task| {
            task.state = State::Finished(FinishedTask {
                attempt: running.attempt,
                outcome: Some(outcome),
                ran_us,
                delivery,
            });
            finished_message(shard, key, task)
        });
        if let (Some(owner), Some(message)) = (self.owner(shard), message.flatten()) {
            self.outbox.push(owner, message);
        }
        if is_settled {
            self.results.add_settled(task_ref);
        } else {
            self.resends
                .schedule(self.now_us, task_ref, running.attempt);
        }
        self.evict_results();
    }
}
