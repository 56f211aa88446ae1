//! Acceptance and refusal of tasks.

use model::{
    AgentMessage, Attempt, JobKey, ProcessKey, RefusalReason, ShardKey, Start, TaskKey, TaskStart,
};

use crate::agent::Agent;
use crate::delivery::{finished, refused};
use crate::fence::Authority;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;
use crate::records::record_expiry_unix_ms;
use crate::table::{JobRef, TaskRef};
use crate::task::{QueuedTask, State};

/// What the tasks of one start message have in common.
#[derive(Debug, Clone, Copy)]
struct Context {
    from: ProcessKey,
    shard: ShardKey,
    key: JobKey,
    job: JobRef,
    authority: Authority,
    deadline_us: u64,
    /// Why no task of the message may start.
    refusal: Option<RefusalReason>,
}

impl Context {
    fn task_key(&self, index: u16) -> TaskKey {
        TaskKey {
            job: self.key,
            index,
        }
    }
}

impl Agent {
    pub(crate) fn start(&mut self, from: ProcessKey, start: Start) {
        let Some(context) = self.prepare(from, &start) else {
            return;
        };
        let mut tasks = Vec::new();
        for task in start.tasks {
            tasks.extend(self.start_task(&context, task));
        }
        if !tasks.is_empty() {
            let shard = context.shard;
            self.outbox
                .push(from, AgentMessage::Accepted { shard, tasks });
        }
    }

    /// Decides what the tasks of a message have in common; nothing if they get no decision.
    fn prepare(&mut self, from: ProcessKey, start: &Start) -> Option<Context> {
        let shard = start.shard;
        let authority = self.start_authority(start, from);
        let is_placed = self.is_placed(start);
        let counters = self.counters.firm(shard.firm);
        if authority == Authority::Conflicting {
            counters.conflicting += 1;
            return None;
        }
        if !is_placed {
            counters.misplaced += 1;
            return None;
        }
        counters.stale += u64::from(authority == Authority::Stale);
        if self.is_too_old(start) && self.table.find(start.job.key).is_none() {
            self.refuse_unrecorded(from, start);
            return None;
        }
        let refusal = self.job_refusal(authority, start);
        let Some(job) = self.record_job(start) else {
            self.counters.firm(shard.firm).unrecorded += 1;
            return None;
        };
        Some(Context {
            from,
            shard,
            key: start.job.key,
            job,
            authority,
            deadline_us: self.now_us.saturating_add(start.remaining_us),
            refusal,
        })
    }

    /// Decides on one task; returns the attempt that is held.
    fn start_task(&mut self, context: &Context, start: TaskStart) -> Option<(TaskKey, Attempt)> {
        let index = start.index;
        let at = TaskRef {
            job: context.job,
            index,
        };
        let key = context.task_key(index);
        if context.authority == Authority::Owner && self.is_held(at) {
            self.counters.firm(context.shard.firm).duplicates += 1;
            return self
                .repeat(context, at, start.attempt)
                .map(|attempt| (key, attempt));
        }
        if let Some(reason) = self.task_refusal(context, at, start.attempt) {
            self.refuse_start(context, at, start.attempt, reason);
            return None;
        }
        let attempt = start.attempt;
        self.enqueue(context, at, start);
        Some((key, attempt))
    }

    /// Answers from the table; returns the attempt of a task that waits or runs.
    fn repeat(&mut self, context: &Context, at: TaskRef, attempt: Attempt) -> Option<Attempt> {
        let key = context.task_key(at.index);
        let task = self.table.task(at)?;
        match &task.state {
            State::Idle { .. } => None,
            State::Running(running) => Some(running.attempt),
            State::Finished(_) => {
                let message = finished(context.shard, key, task)?;
                self.outbox.push(context.from, message);
                None
            }
            State::Queued(_) => self.table.update(at, |task| match &mut task.state {
                State::Queued(queued) => {
                    queued.attempt = queued.attempt.max(attempt);
                    Some(queued.attempt)
                }
                _ => None,
            })?,
        }
    }

    fn enqueue(&mut self, context: &Context, at: TaskRef, start: TaskStart) {
        self.table.ensure_task(at);
        if let Some(job) = self.table.job_mut(at.job) {
            job.settled = false;
        }
        let sequence = self.queue.push(context.shard.firm, context.deadline_us, at);
        let queued = QueuedTask {
            attempt: start.attempt,
            payload: start.payload,
            deadline_us: context.deadline_us,
            sequence,
            cost_us: start.expected_us,
        };
        self.table
            .update(at, |task| task.state = State::Queued(queued));
    }

    /// Refuses an attempt, provided that this can be recorded and is true.
    fn refuse_start(
        &mut self,
        context: &Context,
        at: TaskRef,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::ForgetTombstones) {
            let key = context.task_key(at.index);
            self.outbox
                .push(context.from, refused(context.shard, key, attempt, reason));
            return;
        }
        if !self.record_task(at) {
            return;
        }
        let Some(newest) = self
            .table
            .update(at, |task| task.rule_out(attempt))
            .flatten()
        else {
            return;
        };
        self.counters.firm(context.shard.firm).count_refusal(reason);
        let key = context.task_key(at.index);
        self.outbox
            .push(context.from, refused(context.shard, key, newest, reason));
    }

    /// Refuses tasks that are so old that their age alone rules them out for good.
    fn refuse_unrecorded(&mut self, to: ProcessKey, start: &Start) {
        let reason = RefusalReason::DeadlinePassed;
        for task in &start.tasks {
            let key = TaskKey {
                job: start.job.key,
                index: task.index,
            };
            self.counters.firm(start.shard.firm).count_refusal(reason);
            self.outbox
                .push(to, refused(start.shard, key, task.attempt, reason));
        }
    }

    fn job_refusal(&self, authority: Authority, start: &Start) -> Option<RefusalReason> {
        match authority {
            Authority::Owner => {}
            Authority::Stale => return Some(RefusalReason::StaleGeneration),
            _ => return Some(RefusalReason::Unfenced),
        }
        if self.refuses_work() {
            return Some(RefusalReason::Draining);
        }
        if !self.is_permitted(start) {
            return Some(RefusalReason::PermitExpired);
        }
        if self.is_too_old(start) || start.remaining_us == 0 {
            return Some(RefusalReason::DeadlinePassed);
        }
        if self.target.info().is_none() {
            return Some(RefusalReason::TargetDown);
        }
        (!self.target.accepts(&start.job)).then_some(RefusalReason::TargetRefused)
    }

    fn task_refusal(
        &self,
        context: &Context,
        at: TaskRef,
        attempt: Attempt,
    ) -> Option<RefusalReason> {
        let known = self.table.task(at);
        let tombstoned = known.and_then(|task| task.tombstoned);
        if context.authority == Authority::Owner && tombstoned >= Some(attempt) {
            return Some(RefusalReason::Tombstoned);
        }
        if context.refusal.is_some() {
            return context.refusal;
        }
        let is_full = self.queue.len() >= self.settings.max_queue_tasks
            || self.are_results_full()
            || (known.is_none() && self.are_records_full());
        is_full.then_some(RefusalReason::QueueFull)
    }

    fn start_authority(&self, start: &Start, from: ProcessKey) -> Authority {
        let authority = self.authority(start.shard, start.generation, from);
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::AcceptStaleGeneration)
            && authority == Authority::Stale
        {
            return Authority::Owner;
        }
        authority
    }

    fn is_held(&self, at: TaskRef) -> bool {
        let Some(task) = self.table.task(at) else {
            return false;
        };
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::RestartFinished) {
            return !matches!(task.state, State::Idle { .. } | State::Finished(_));
        }
        !matches!(task.state, State::Idle { .. })
    }

    fn refuses_work(&self) -> bool {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::WorkWhileDraining) {
            return false;
        }
        self.draining
    }

    fn is_permitted(&self, start: &Start) -> bool {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::IgnorePermit) {
            return true;
        }
        start.permit.agent == self.settings.key && start.permit.expires_us > self.now_us
    }

    /// Returns whether the record of the job may be gone.
    fn is_too_old(&self, start: &Start) -> bool {
        record_expiry_unix_ms(start) <= self.now_unix_ms
    }

    /// Returns whether there are tasks, and job, firm and shard agree with each other and
    /// with the record.
    fn is_placed(&self, start: &Start) -> bool {
        let key = start.job.key;
        let known = self.table.find(key).and_then(|at| self.table.job(at));
        key.firm == start.shard.firm
            && !start.tasks.is_empty()
            && known.is_none_or(|job| job.shard == start.shard)
    }
}
