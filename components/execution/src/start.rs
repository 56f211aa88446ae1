//! Acceptance and refusal of tasks.

use model::{
    AgentMessage, Attempt, JobKey, ProcessKey, RefusalReason, ShardKey, Start, TaskKey, TaskStart,
};

use crate::agent::Agent;
use crate::delivery::{finished_message, refused_message};
use crate::fence::Authority;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;
use crate::records::record_expiry_unix_ms;
use crate::table::{JobRef, TaskRef};
use crate::task::{QueuedTask, State};

/// Data and checks shared by the tasks of one start message.
#[derive(Debug, Clone, Copy)]
struct StartContext {
    from: ProcessKey,
    shard: ShardKey,
    key: JobKey,
    job: JobRef,
    authority: Authority,
    deadline_us: u64,
    /// Reason for refusing every task of the message, if any.
    refusal: Option<RefusalReason>,
}

impl StartContext {
    fn task_key(&self, index: u16) -> TaskKey {
        TaskKey {
            job: self.key,
            index,
        }
    }
}

impl Agent {
    pub(crate) fn start(&mut self, from: ProcessKey, start: Start) {
        let Some(context) = self.start_context(from, &start) else {
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

    /// Checks a start message as a whole; returns `None` if its tasks need no further decision.
    fn start_context(&mut self, from: ProcessKey, start: &Start) -> Option<StartContext> {
        let shard = start.shard;
        let authority = self.start_authority(start, from);
        let is_consistent = self.is_consistent(start);
        let counters = self.counters.firm(shard.firm);
        if authority == Authority::Conflicting {
            counters.conflicting += 1;
            return None;
        }
        if !is_consistent {
            counters.misplaced += 1;
            return None;
        }
        counters.stale += u64::from(authority == Authority::Stale);
        if self.is_past_retention(start) && self.table.find(start.job.key).is_none() {
            self.refuse_past_retention(from, start);
            return None;
        }
        let refusal = self.job_refusal(authority, start);
        let Some(job) = self.record_job(start) else {
            self.counters.firm(shard.firm).unrecorded += 1;
            return None;
        };
        Some(StartContext {
            from,
            shard,
            key: start.job.key,
            job,
            authority,
            deadline_us: self.now_us.saturating_add(start.remaining_us),
            refusal,
        })
    }

    /// Accepts or refuses one task; returns the attempt that is queued or running, if any.
    fn start_task(
        &mut self,
        context: &StartContext,
        start: TaskStart,
    ) -> Option<(TaskKey, Attempt)> {
        let index = start.index;
        let task_ref = TaskRef {
            job: context.job,
            index,
        };
        let key = context.task_key(index);
        if context.authority == Authority::Owner && self.is_accepted(task_ref) {
            self.counters.firm(context.shard.firm).duplicates += 1;
            return self
                .answer_duplicate(context, task_ref, start.attempt)
                .map(|attempt| (key, attempt));
        }
        if let Some(reason) = self.task_refusal(context, task_ref, start.attempt) {
            self.refuse_start(context, task_ref, start.attempt, reason);
            return None;
        }
        let attempt = start.attempt;
        self.enqueue(context, task_ref, start);
        Some((key, attempt))
    }

    /// Answers a repeated start; returns the attempt of a queued or running task.
    fn answer_duplicate(
        &mut self,
        context: &StartContext,
        task_ref: TaskRef,
        attempt: Attempt,
    ) -> Option<Attempt> {
        let key = context.task_key(task_ref.index);
        let task = self.table.task(task_ref)?;
        match &task.state {
            State::Idle { .. } => None,
            State::Running(running) => Some(running.attempt),
            State::Finished(_) => {
                let message = finished_message(context.shard, key, task)?;
                self.outbox.push(context.from, message);
                None
            }
            State::Queued(_) => self.table.update(task_ref, |task| match &mut task.state {
                State::Queued(queued) => {
                    queued.attempt = queued.attempt.max(attempt);
                    Some(queued.attempt)
                }
                _ => None,
            })?,
        }
    }

    fn enqueue(&mut self, context: &StartContext, task_ref: TaskRef, start: TaskStart) {
        self.table.ensure_task(task_ref);
        if let Some(job) = self.table.job_mut(task_ref.job) {
            job.is_settled = false;
        }
        let sequence = self
            .queue
            .push(context.shard.firm, context.deadline_us, task_ref);
        let queued = QueuedTask {
            attempt: start.attempt,
            payload: start.payload,
            deadline_us: context.deadline_us,
            sequence,
            cost_us: start.expected_us,
        };
        self.table
            .update(task_ref, |task| task.state = State::Queued(queued));
    }

    /// Refuses an attempt, unless the refusal can't be recorded or the attempt may still run or
    /// has run.
    fn refuse_start(
        &mut self,
        context: &StartContext,
        task_ref: TaskRef,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::SkipTombstones) {
            let key = context.task_key(task_ref.index);
            self.outbox.push(
                context.from,
                refused_message(context.shard, key, attempt, reason),
            );
            return;
        }
        if !self.record_task(task_ref) {
            return;
        }
        let Some(newest) = self
            .table
            .update(task_ref, |task| task.tombstone_unless_pending(attempt))
            .flatten()
        else {
            return;
        };
        self.counters.firm(context.shard.firm).count_refusal(reason);
        let key = context.task_key(task_ref.index);
        self.outbox.push(
            context.from,
            refused_message(context.shard, key, newest, reason),
        );
    }

    /// Refuses tasks without recording it: repeated starts are refused for their age as well.
    fn refuse_past_retention(&mut self, to: ProcessKey, start: &Start) {
        let reason = RefusalReason::DeadlinePassed;
        for task in &start.tasks {
            let key = TaskKey {
                job: start.job.key,
                index: task.index,
            };
            self.counters.firm(start.shard.firm).count_refusal(reason);
            self.outbox
                .push(to, refused_message(start.shard, key, task.attempt, reason));
        }
    }

    fn job_refusal(&self, authority: Authority, start: &Start) -> Option<RefusalReason> {
        match authority {
            Authority::Owner => {}
            Authority::Stale => return Some(RefusalReason::StaleGeneration),
            _ => return Some(RefusalReason::Unfenced),
        }
        if self.is_refusing_starts() {
            return Some(RefusalReason::Draining);
        }
        if !self.has_valid_permit(start) {
            return Some(RefusalReason::PermitExpired);
        }
        if self.is_past_retention(start) || start.remaining_us == 0 {
            return Some(RefusalReason::DeadlinePassed);
        }
        if self.target.info().is_none() {
            return Some(RefusalReason::TargetDown);
        }
        (!self.target.accepts(&start.job)).then_some(RefusalReason::TargetRefused)
    }

    fn task_refusal(
        &self,
        context: &StartContext,
        task_ref: TaskRef,
        attempt: Attempt,
    ) -> Option<RefusalReason> {
        let known = self.table.task(task_ref);
        let tombstoned = known.and_then(|task| task.tombstoned);
        if context.authority == Authority::Owner && tombstoned >= Some(attempt) {
            return Some(RefusalReason::Tombstoned);
        }
        if context.refusal.is_some() {
            return context.refusal;
        }
        let is_full = self.queue.len() >= self.settings.max_queue_tasks
            || self.is_result_memory_full()
            || (known.is_none() && self.is_record_table_full());
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

    /// Returns whether the task is queued, running or finished.
    fn is_accepted(&self, task_ref: TaskRef) -> bool {
        let Some(task) = self.table.task(task_ref) else {
            return false;
        };
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::RestartFinished) {
            return !matches!(task.state, State::Idle { .. } | State::Finished(_));
        }
        !matches!(task.state, State::Idle { .. })
    }

    fn is_refusing_starts(&self) -> bool {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::AcceptWhileDraining) {
            return false;
        }
        self.draining
    }

    fn has_valid_permit(&self, start: &Start) -> bool {
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::IgnorePermit) {
            return true;
        }
        start.permit.agent == self.settings.key && start.permit.expires_us > self.now_us
    }

    /// Returns whether the record of the job may have been removed.
    fn is_past_retention(&self, start: &Start) -> bool {
        record_expiry_unix_ms(start) <= self.now_unix_ms
    }

    /// Returns whether the message has tasks, and its job, firm and shard match each other and
    /// the job's record.
    fn is_consistent(&self, start: &Start) -> bool {
        let key = start.job.key;
        let known = self
            .table
            .find(key)
            .and_then(|job_ref| self.table.job(job_ref));
        key.firm == start.shard.firm
            && !start.tasks.is_empty()
            && known.is_none_or(|job| job.shard == start.shard)
    }
}
