//! Messages of agents about tasks.

use model::{
    AgentMessage, Answer, Attempt, FailureKind, FailureReason, HeartbeatAck, PERMIT_TTL_MS,
    ProcessKey, RefusalReason, TaskKey, TaskOutcome,
};

use crate::agents::AgentKey;
use crate::job::{JobSlot, TaskPhase};
use crate::mutation::Mutation;
use crate::shard::{Cx, Shard, decrement};

/// Part of a permit's life for which it is used; the rest covers the way to the agent.
const PERMIT_USE_US: u64 = PERMIT_TTL_MS * 1_000 * 3 / 4;

impl Shard {
    /// Takes in one message of an agent; returns the newer generation if there is one.
    pub fn handle(
        &mut self,
        cx: &mut Cx<'_>,
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
                    self.note_fenced(cx, from, part, part_count, jobs);
                }
            }
            AgentMessage::HeartbeatAck(ack) => self.note_ack(cx, from, &ack),
            AgentMessage::Accepted { tasks, .. } => self.note_accepted(&tasks),
            AgentMessage::Refused {
                task,
                attempt,
                reason,
                ..
            } => self.note_refused(cx, from, task, attempt, reason),
            AgentMessage::RevokeFailed { task, .. } => self.note_running(task),
            AgentMessage::Finished {
                task,
                attempt,
                outcome,
                ran_us,
                ..
            } => self.note_finished(cx, from, task, attempt, outcome, ran_us),
        }
        None
    }

    fn note_ack(&mut self, cx: &mut Cx<'_>, from: ProcessKey, ack: &HeartbeatAck) {
        let vouched = ack.shards.contains(&(self.key, self.record.generation));
        let Some(member) = self.member_mut(from) else {
            return;
        };
        let agent = member.agent;
        if vouched && ack.sent_us > member.acked_sent_us {
            member.acked_sent_us = ack.sent_us;
            self.refresh_authority();
        }
        if let Some(view) = cx.agents.get_mut(agent) {
            view.permit = Some(ack.permit);
            // The agent issued the permit after the heartbeat had been sent.
            view.permit_until_us = ack.sent_us + PERMIT_USE_US;
        }
    }

    fn note_accepted(&mut self, tasks: &[(TaskKey, Attempt)]) {
        for (task, attempt) in tasks {
            self.acknowledge(*task, *attempt);
        }
    }

    fn acknowledge(&mut self, key: TaskKey, attempt: Attempt) {
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

    fn note_running(&mut self, key: TaskKey) {
        // The task can no longer be taken back; its outcome is still to come.
        if let Some(orphan) = self.orphans.get_mut(&key) {
            orphan.next_revoke_us = u64::MAX;
        }
    }

    fn note_refused(
        &mut self,
        cx: &mut Cx<'_>,
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
        // The agent may have ruled out more attempts than this owner has made.
        task.attempt = attempt;
        task.phase = TaskPhase::Waiting;
        task.avoid = Some(agent);
        let given_up = task.attempts_made >= max_attempts(cx, job.meta.group)
            && reason != RefusalReason::StaleGeneration;
        decrement(cx.agents, agent);
        self.in_progress = self.in_progress.saturating_sub(1);
        if given_up {
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

    /// Finds a task that is at the given agent.
    fn sent_task(
        &self,
        from: ProcessKey,
        key: TaskKey,
        cx: &Cx<'_>,
    ) -> Option<(JobSlot, AgentKey)> {
        let slot = *self.by_key.get(&key.job)?;
        let task = self.jobs[slot].tasks.get(usize::from(key.index))?;
        let TaskPhase::Sent { agent, .. } = task.phase else {
            return None;
        };
        (cx.agents.find(from) == Some(agent)).then_some((slot, agent))
    }

    fn resolve_orphan(
        &mut self,
        cx: &mut Cx<'_>,
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
        decrement(cx.agents, orphan.agent);
        self.orphans.remove(&key);
        self.in_progress = self.in_progress.saturating_sub(1);
        true
    }

    fn note_finished(
        &mut self,
        cx: &mut Cx<'_>,
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
        self.learn(cx, slot, key, agent, &outcome, ran_us);
        self.take_outcome(cx, slot, key, agent, outcome);
    }

    pub fn acknowledge_outcome(&self, cx: &mut Cx<'_>, from: ProcessKey, key: TaskKey) {
        let Some(agent) = cx.agents.find(from) else {
            return;
        };
        if let Some(view) = cx.agents.get_mut(agent) {
            view.push_received(self.key, key);
        }
    }

    fn learn(
        &self,
        cx: &mut Cx<'_>,
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
                cx.learning
                    .observe(meta.key.firm, meta.group, kind, view, ran_us);
            }
            TaskOutcome::Failed(_) | TaskOutcome::Unknown(_) => {
                view.health.failed(meta.key, cx.now_us);
            }
        }
    }

    /// Applies the outcome of a task that was at an agent.
    pub fn take_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
        outcome: TaskOutcome,
    ) {
        decrement(cx.agents, agent);
        self.in_progress = self.in_progress.saturating_sub(1);
        let job = &mut self.jobs[slot];
        let task = &mut job.tasks[usize::from(key.index)];
        match outcome {
            TaskOutcome::Done(result) => {
                task.phase = TaskPhase::Done(result);
                job.unfinished -= 1;
                let hasty = self.mutations.has(Mutation::PartialAnswer);
                if job.unfinished == 0 || hasty {
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
    pub fn complete_job(&mut self, cx: &mut Cx<'_>, slot: JobSlot) {
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
        self.settle(cx, slot, Answer::Complete(results));
    }

    /// Gives up the tasks at an agent that is gone.
    pub fn lose_agent(&mut self, cx: &mut Cx<'_>, agent: AgentKey) {
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
        self.in_progress = self.in_progress.saturating_sub(dropped);
        if let Some(view) = cx.agents.get_mut(agent) {
            view.outstanding = view.outstanding.saturating_sub(dropped);
        }
    }
}

fn max_attempts(cx: &Cx<'_>, group: model::GroupKey) -> u32 {
    cx.rules.group(group).map_or(3, |rules| rules.max_attempts)
}
