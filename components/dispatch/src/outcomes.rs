//! Handling of agent messages: acknowledgements, refusals and task outcomes.

use model::{
    AgentMessage, Answer, Attempt, FailureKind, FailureReason, HeartbeatAck, PERMIT_TTL_MS,
    ProcessKey, RefusalReason, TaskKey, TaskOutcome,
};

use crate::agents::AgentKey;
use crate::job::{JobSlot, TaskPhase};
use crate::mutation::Mutation;
use crate::shard::{Shard, ShardContext, decrement_outstanding};

/// Time for which a permit is used, in microseconds.
///
/// The last quarter of its lifetime is left for the message to reach the agent.
const PERMIT_USE_US: u64 = PERMIT_TTL_MS * 1_000 * 3 / 4;

impl Shard {
    /// Handles a message from an agent; returns the generation that the message names if it is newer
    /// than this owner's.
    pub fn handle_message(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        message: AgentMessage,
    ) -> Option<model::Generation> {
        match message {
            AgentMessage::Fenced {
                generation,
                part,
                part_count,
                jobs,
                ..
            } => {
                if generation > self.record.generation {
                    return Some(generation);
                }
                if generation == self.record.generation {
                    self.handle_fenced(cx, from, part, part_count, jobs);
                }
            }
            AgentMessage::HeartbeatAck(ack) => self.handle_heartbeat_ack(cx, from, &ack),
            AgentMessage::Accepted { tasks, .. } => self.handle_accepted(&tasks),
            AgentMessage::Refused {
                task,
                attempt,
                reason,
                ..
            } => self.handle_refused(cx, from, task, attempt, reason),
            AgentMessage::RevokeFailed { task, .. } => self.handle_revoke_failed(task),
            AgentMessage::Finished {
                task,
                attempt,
                outcome,
                ran_us,
                ..
            } => self.handle_finished(cx, from, task, attempt, outcome, ran_us),
        }
        None
    }

    fn handle_heartbeat_ack(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        ack: &HeartbeatAck,
    ) {
        let is_acknowledged = ack.shards.contains(&(self.key, self.record.generation));
        let Some(member) = self.member_mut(from) else {
            return;
        };
        let agent = member.agent;
        if is_acknowledged && ack.sent_us > member.acked_sent_us {
            member.acked_sent_us = ack.sent_us;
            self.refresh_authority();
        }
        if let Some(view) = cx.agents.get_mut(agent) {
            view.permit = Some(ack.permit);
            // The agent issued the permit after the heartbeat was sent, so this is a lower bound.
            view.permit_until_us = ack.sent_us + PERMIT_USE_US;
        }
    }

    fn handle_accepted(&mut self, tasks: &[(TaskKey, Attempt)]) {
        for (task, attempt) in tasks {
            self.mark_start_acknowledged(*task, *attempt);
        }
    }

    fn mark_start_acknowledged(&mut self, key: TaskKey, attempt: Attempt) {
        let Some(slot) = self.by_key.get(&key.job) else {
            return;
        };
        let Some(task) = self.jobs[*slot].tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        if task.attempt != attempt {
            return;
        }
        if let TaskPhase::Sent { acknowledged, .. } = &mut task.phase {
            *acknowledged = true;
        }
    }

    fn handle_revoke_failed(&mut self, key: TaskKey) {
        // The task has started, so it can no longer be revoked; its outcome will follow.
        if let Some(orphan) = self.orphans.get_mut(&key) {
            orphan.next_revoke_us = u64::MAX;
        }
    }

    fn handle_refused(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        key: TaskKey,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        cx.counters.tasks_refused += 1;
        self.acknowledge_outcome(cx, from, key);
        if self.resolve_orphan(cx, from, key, attempt) {
            return;
        }
        let Some((slot, agent)) = self.sent_task(from, key, cx) else {
            return;
        };
        let job = &mut self.jobs[slot];
        let task = &mut job.tasks[usize::from(key.index)];
        if task.attempt > attempt {
            return;
        }
        // The agent may have rejected attempt numbers above those that this owner has used.
        task.attempt = attempt;
        task.phase = TaskPhase::Waiting;
        task.avoid_agent = Some(agent);
        let is_out_of_attempts = task.attempts_made >= max_attempts(cx, job.meta.group)
            && reason != RefusalReason::StaleGeneration;
        decrement_outstanding(cx.agents, agent);
        self.tasks_at_agents = self.tasks_at_agents.saturating_sub(1);
        if is_out_of_attempts {
            let kind = self.failure_kind(slot, cx.now_us);
            let detail = format!("no target accepted a task; the last refusal: {reason}");
            let answer = Answer::refused(kind, FailureReason::NoTarget, detail, 1_000);
            self.fail_job(cx, slot, answer);
            return;
        }
        let job = &mut self.jobs[slot];
        job.waiting.push(key.index);
        if job.has_payloads {
            self.enqueue(cx, slot, &[key.index]);
        }
    }

    /// Returns the job and agent of a task if it is at the given process.
    fn sent_task(
        &self,
        from: ProcessKey,
        key: TaskKey,
        cx: &ShardContext<'_>,
    ) -> Option<(JobSlot, AgentKey)> {
        let slot = *self.by_key.get(&key.job)?;
        let task = self.jobs[slot].tasks.get(usize::from(key.index))?;
        let TaskPhase::Sent { agent, .. } = task.phase else {
            return None;
        };
        (cx.agents.find(from) == Some(agent)).then_some((slot, agent))
    }

    /// Removes the orphan that a message of its agent ends; returns whether there was one.
    fn resolve_orphan(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        key: TaskKey,
        attempt: Attempt,
    ) -> bool {
        let Some(orphan) = self.orphans.get(&key) else {
            return false;
        };
        if orphan.attempt > attempt || cx.agents.find(from) != Some(orphan.agent) {
            return false;
        }
        decrement_outstanding(cx.agents, orphan.agent);
        self.orphans.remove(&key);
        self.tasks_at_agents = self.tasks_at_agents.saturating_sub(1);
        true
    }

    fn handle_finished(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        key: TaskKey,
        attempt: Attempt,
        outcome: TaskOutcome,
        ran_us: u64,
    ) {
        self.acknowledge_outcome(cx, from, key);
        if self.resolve_orphan(cx, from, key, attempt) {
            return;
        }
        let Some((slot, agent)) = self.sent_task(from, key, cx) else {
            cx.counters.outcomes_stray += 1;
            return;
        };
        cx.counters.tasks_finished += 1;
        self.update_statistics(cx, slot, key, agent, &outcome, ran_us);
        self.apply_outcome(cx, slot, key, agent, outcome);
    }

    pub fn acknowledge_outcome(&self, cx: &mut ShardContext<'_>, from: ProcessKey, key: TaskKey) {
        let Some(agent) = cx.agents.find(from) else {
            return;
        };
        if let Some(view) = cx.agents.get_mut(agent) {
            view.queue_outcome_ack(self.key, key);
        }
    }

    fn update_statistics(
        &self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
        outcome: &TaskOutcome,
        ran_us: u64,
    ) {
        let meta = &self.jobs[slot].meta;
        let task = &self.jobs[slot].tasks[usize::from(key.index)];
        let kind = task.kind;
        let TaskPhase::Sent { sent_us, .. } = task.phase else {
            return;
        };
        let Some(view) = cx.agents.get_mut(agent) else {
            return;
        };
        match outcome {
            TaskOutcome::Done(_) => {
                view.health.succeeded(sent_us);
                cx.run_times
                    .observe(meta.key.firm, meta.group, kind, view, ran_us);
            }
            TaskOutcome::Failed(_) | TaskOutcome::Unknown(_) => {
                view.health.failed(meta.key, cx.now_us);
            }
        }
    }

    /// Applies the outcome of a task that was sent to an agent.
    pub fn apply_outcome(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
        outcome: TaskOutcome,
    ) {
        decrement_outstanding(cx.agents, agent);
        self.tasks_at_agents = self.tasks_at_agents.saturating_sub(1);
        let job = &mut self.jobs[slot];
        let task = &mut job.tasks[usize::from(key.index)];
        match outcome {
            TaskOutcome::Done(result) => {
                task.phase = TaskPhase::Done(result);
                job.unfinished -= 1;
                let answers_early = self.mutations.has(Mutation::PartialAnswer);
                if job.unfinished == 0 || answers_early {
                    self.complete_job(cx, slot);
                }
            }
            TaskOutcome::Failed(detail) => {
                task.phase = TaskPhase::Done(bytes::Bytes::new());
                let detail = format!("task {}: {detail}", key.index);
                self.fail_job(
                    cx,
                    slot,
                    Answer::failed(FailureKind::RanAndFailed, FailureReason::TaskFailed, detail),
                );
            }
            TaskOutcome::Unknown(detail) => {
                task.phase = TaskPhase::Done(bytes::Bytes::new());
                let detail = format!("task {}: {detail}", key.index);
                self.fail_job(
                    cx,
                    slot,
                    Answer::failed(FailureKind::MayHaveRun, FailureReason::TargetLost, detail),
                );
            }
        }
    }

    /// Answers a job whose tasks have all finished.
    pub fn complete_job(&mut self, cx: &mut ShardContext<'_>, slot: JobSlot) {
        cx.counters.completed += 1;
        let job = &self.jobs[slot];
        let results = job
            .tasks
            .iter()
            .map(|task| match &task.phase {
                TaskPhase::Done(result) => result.clone(),
                TaskPhase::Waiting | TaskPhase::Sent { .. } => bytes::Bytes::new(),
            })
            .collect();
        self.finish_job(cx, slot, Answer::Complete(results));
    }

    /// Fails the jobs with tasks at an agent that is gone and drops its orphaned tasks.
    pub fn fail_tasks_of_agent(&mut self, cx: &mut ShardContext<'_>, agent: AgentKey) {
        let lost: Vec<JobSlot> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.tasks.iter().any(
                    |task| matches!(task.phase, TaskPhase::Sent { agent: at, .. } if at == agent),
                )
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in lost {
            let answer = Answer::failed(
                FailureKind::MayHaveRun,
                FailureReason::AgentLost,
                "an agent that held part of the job is gone",
            );
            self.fail_job(cx, slot, answer);
        }
        let before = self.orphans.len();
        self.orphans.retain(|_, orphan| orphan.agent != agent);
        let dropped = (before - self.orphans.len()) as u32;
        self.tasks_at_agents = self.tasks_at_agents.saturating_sub(dropped);
        if let Some(view) = cx.agents.get_mut(agent) {
            view.outstanding = view.outstanding.saturating_sub(dropped);
        }
    }
}

fn max_attempts(cx: &ShardContext<'_>, group: model::GroupKey) -> u32 {
    cx.rules.group(group).map_or(3, |rules| rules.max_attempts)
}
