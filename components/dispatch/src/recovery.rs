//! Fencing of agents after a change of owner, and recovery of jobs from their answers.
//!
//! A fence makes an agent refuse starts from earlier generations of the shard. The answer lists the
//! shard's jobs that the agent holds.

use model::{
    Answer, FailureKind, FailureReason, Fence, JobRecord, MemberState, OwnerMessage, ProcessKey,
    TAKEOVER_HORIZON_MS, TaskKey, TaskOutcome, TaskState,
};

use crate::agents::AgentKey;
use crate::job::{Job, JobSlot, TaskPhase};
use crate::mutation::Mutation;
use crate::shard::{CONTROL_RESEND_US, Phase, Shard, ShardContext};

/// Time for which a new owner waits for agents beyond a majority, in microseconds.
///
/// A live agent answers within a round trip; the rest covers a resend after a lost message.
const FENCE_GRACE_US: u64 = 500_000;

impl Shard {
    /// Sends or resends the fence to members that have not answered it.
    pub fn send_fences(&mut self, cx: &mut ShardContext<'_>) {
        let fence = Fence {
            shard: self.key,
            generation: self.record.generation,
        };
        for member in &mut self.members {
            if member.fenced || member.next_fence_us > cx.now_us {
                continue;
            }
            let Some(view) = cx.agents.get_mut(member.agent) else {
                continue;
            };
            // A replaced member is still sent the fence: a response from its address by another
            // incarnation shows that it has ended.
            if view.ended {
                continue;
            }
            member.next_fence_us = cx.now_us + CONTROL_RESEND_US;
            view.push(OwnerMessage::Fence(fence.clone()));
        }
    }

    /// Handles a part of a member's answer to the fence.
    pub fn handle_fenced(
        &mut self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        part: u32,
        part_count: u32,
        jobs: Vec<JobRecord>,
    ) {
        let Some(member) = self.member_mut(from) else {
            cx.counters.messages_stray += 1;
            return;
        };
        let was_fenced = member.fenced;
        let is_new_part = member.record_fence_part(part, part_count);
        let agent = member.agent;
        let now_fenced = member.fenced;
        if was_fenced || !is_new_part {
            return;
        }
        self.acknowledge_outcomes(cx, from, &jobs);
        if now_fenced {
            cx.agents.make_heartbeat_due(agent, cx.now_us);
        }
        for record in jobs {
            self.merge_job_record(cx, agent, record);
        }
        if now_fenced {
            self.requeue_unreceived(cx, agent);
        }
    }

    /// Acknowledges the outcomes in a member's answer, so that the agent can drop them.
    fn acknowledge_outcomes(
        &self,
        cx: &mut ShardContext<'_>,
        from: ProcessKey,
        jobs: &[JobRecord],
    ) {
        for record in jobs {
            for task in &record.tasks {
                if matches!(task.state, TaskState::Finished(_)) {
                    let job = record.meta.key;
                    let index = task.index;
                    self.acknowledge_outcome(cx, from, TaskKey { job, index });
                }
            }
        }
    }

    fn merge_job_record(&mut self, cx: &mut ShardContext<'_>, agent: AgentKey, record: JobRecord) {
        let Some(slot) = self.find_or_insert_job(cx, &record) else {
            return;
        };
        if record.meta.submitted_unix_ms < self.jobs[slot].meta.submitted_unix_ms {
            // The older submission was refused as not run before the newer one was admitted.
            self.raise_attempts(slot, &record);
            return;
        }
        for task in record.tasks {
            let key = TaskKey {
                job: record.meta.key,
                index: task.index,
            };
            let Some(known) = self
                .jobs
                .get_mut(slot)
                .and_then(|job| job.tasks.get_mut(usize::from(task.index)))
            else {
                return;
            };
            known.attempt = known.attempt.max(task.attempt);
            match task.state {
                TaskState::NotStarted => self.requeue_task(cx, slot, key, agent),
                TaskState::Running => self.mark_started(cx, slot, key, agent),
                TaskState::Finished(outcome) => {
                    self.mark_started(cx, slot, key, agent);
                    self.apply_finished(cx, slot, key, agent, outcome);
                }
                TaskState::ResultDropped if self.is_done(slot, key) => {}
                TaskState::ResultDropped => {
                    self.mark_started(cx, slot, key, agent);
                    let answer = Answer::failed(
                        FailureKind::MayHaveRun,
                        FailureReason::ResultDropped,
                        "a task ran; its result is no longer held",
                    );
                    self.fail_job(cx, slot, answer);
                }
            }
        }
    }

    /// Returns the job of a record; inserts it if the shard is still being recovered.
    fn find_or_insert_job(
        &mut self,
        cx: &mut ShardContext<'_>,
        record: &JobRecord,
    ) -> Option<JobSlot> {
        let key = record.meta.key;
        let is_recovering = matches!(self.phase, Phase::Fencing { .. });
        if let Some(&slot) = self.by_key.get(&key) {
            let job = &self.jobs[slot];
            let is_outdated = job.meta.submitted_unix_ms < record.meta.submitted_unix_ms;
            if !is_outdated || !is_recovering || job.has_payloads {
                return Some(slot);
            }
            // No task of the older submission started; otherwise the newer one would not have been
            // admitted.
            let attempt = job.last_attempt();
            self.remove_job(slot);
            let slot = self.insert_recovered(cx, record);
            self.jobs[slot].skip_attempts_through(attempt);
            return Some(slot);
        }
        if !is_recovering || !self.is_unplanned_takeover || self.answer_records.get(key).is_some() {
            return None;
        }
        Some(self.insert_recovered(cx, record))
    }

    fn insert_recovered(&mut self, cx: &ShardContext<'_>, record: &JobRecord) -> JobSlot {
        self.arrival_count += 1;
        let meta = record.meta.clone();
        let key = meta.key;
        let job = Job::recovered(meta, self.arrival_count, cx.now_us, cx.now_unix_ms);
        let deadline_us = job.deadline_us;
        let slot = self.jobs.insert(job);
        self.by_key.insert(key, slot);
        self.deadlines.insert((deadline_us, slot));
        slot
    }

    /// Raises the attempts of a job's tasks to those in a record, so that later ones are newer.
    fn raise_attempts(&mut self, slot: JobSlot, record: &JobRecord) {
        for task in &record.tasks {
            let known = self.jobs[slot].tasks.get_mut(usize::from(task.index));
            if let Some(known) = known {
                known.attempt = known.attempt.max(task.attempt);
            }
        }
    }

    fn is_done(&self, slot: JobSlot, key: TaskKey) -> bool {
        let task = &self.jobs[slot].tasks[usize::from(key.index)];
        matches!(task.phase, TaskPhase::Done(_))
    }

    /// Marks a task as started by an agent, unless it is done.
    fn mark_started(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
    ) {
        let task = &mut self.jobs[slot].tasks[usize::from(key.index)];
        if matches!(task.phase, TaskPhase::Waiting) {
            self.tasks_at_agents += 1;
            if let Some(view) = cx.agents.get_mut(agent) {
                view.outstanding += 1;
            }
        }
        if matches!(task.phase, TaskPhase::Done(_)) {
            return;
        }
        task.phase = TaskPhase::Sent {
            agent,
            sent_us: cx.now_us,
            acknowledged: true,
        };
    }

    fn apply_finished(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
        outcome: TaskOutcome,
    ) {
        let sent = self.jobs.get(slot).is_some_and(|job| {
            matches!(
                job.tasks[usize::from(key.index)].phase,
                TaskPhase::Sent { .. }
            )
        });
        if sent {
            self.apply_outcome(cx, slot, key, agent, outcome);
        }
    }

    /// Requeues a task that an agent received but did not start.
    pub fn requeue_task(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        key: TaskKey,
        agent: AgentKey,
    ) {
        let job = &mut self.jobs[slot];
        let task = &mut job.tasks[usize::from(key.index)];
        let is_at_agent = matches!(task.phase, TaskPhase::Sent { agent: at, .. } if at == agent);
        if !is_at_agent {
            return;
        }
        task.phase = TaskPhase::Waiting;
        job.waiting.push(key.index);
        self.tasks_at_agents = self.tasks_at_agents.saturating_sub(1);
        crate::shard::decrement_outstanding(cx.agents, agent);
        if self.jobs[slot].has_payloads {
            self.enqueue(cx, slot, &[key.index]);
        }
    }

    /// Requeues tasks that were sent to an agent by an earlier owner but did not reach it.
    fn requeue_unreceived(&mut self, cx: &mut ShardContext<'_>, agent: AgentKey) {
        let generation = self.record.generation.0;
        let mut unreceived = Vec::new();
        for (slot, job) in &self.jobs {
            for (index, task) in job.tasks.iter().enumerate() {
                let TaskPhase::Sent {
                    agent: at,
                    acknowledged,
                    ..
                } = task.phase
                else {
                    continue;
                };
                // `next_attempt` starts each generation at this multiple.
                let of_this_generation = u64::from(task.attempt.0) >= generation * 4_096;
                if at == agent && !acknowledged && !of_this_generation {
                    unreceived.push((slot, job.meta.key, index as u16));
                }
            }
        }
        for (slot, job, index) in unreceived {
            self.requeue_task(cx, slot, TaskKey { job, index }, agent);
        }
    }

    /// Starts serving once enough agents have answered the fence.
    ///
    /// Enough are all members, or a majority of the active ones after a grace period.
    pub fn finish_fencing(&mut self, cx: &mut ShardContext<'_>) {
        let Phase::Fencing { since_us } = self.phase else {
            return;
        };
        let active = self.count_active(|_| true);
        let fenced_or_ended = self.count_active(|member| {
            let ended = cx.agents.get(member.agent).is_some_and(|view| view.ended);
            member.fenced || ended
        });
        let all = self.members.iter().all(|member| member.fenced);
        // Neither fenced nor ended members acknowledge heartbeats of the previous owner, so a
        // majority of them ends its authority.
        let majority = active == 0 || fenced_or_ended * 2 > active;
        let is_grace_period_over = cx.now_us >= since_us + FENCE_GRACE_US;
        let skip = self.mutations.has(Mutation::SkipFenceWait);
        let has_enough_answers = all || (majority && is_grace_period_over) || skip;
        if !has_enough_answers {
            return;
        }
        self.phase = Phase::Serving;
        if !self.is_unplanned_takeover {
            return;
        }
        self.has_all_fence_answers = all || skip;
        self.horizon_unix_ms = cx.now_unix_ms + TAKEOVER_HORIZON_MS;
        self.resume_jobs(cx);
    }

    fn remove_job(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.remove(slot) else {
            return;
        };
        self.by_key.remove(&job.meta.key);
        self.deadlines.remove(&(job.deadline_us, slot));
    }

    fn count_active(&self, wanted: impl Fn(&crate::roster::MemberView) -> bool) -> usize {
        self.members
            .iter()
            .filter(|member| member.state == MemberState::Active)
            .filter(|member| wanted(member))
            .count()
    }

    /// Drops or fails recovered jobs with tasks that no agent has started, or lets these tasks wait
    /// for a resubmission, which brings the payloads.
    fn resume_jobs(&mut self, cx: &mut ShardContext<'_>) {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            let job = &mut self.jobs[slot];
            if job.has_payloads {
                continue;
            }
            let unstarted: Vec<u16> = job
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, task)| task.phase == TaskPhase::Waiting)
                .map(|(index, _)| index as u16)
                .collect();
            if unstarted.is_empty() {
                continue;
            }
            if unstarted.len() == job.tasks.len() {
                // The previous owner may have refused the job as not run.
                self.remove_job(slot);
                continue;
            }
            if !self.has_all_fence_answers {
                let answer = Answer::failed(
                    FailureKind::MayHaveRun,
                    FailureReason::AgentLost,
                    "an agent that may have run part of the job did not answer the new owner",
                );
                self.fail_job(cx, slot, answer);
                continue;
            }
            job.waiting = unstarted;
        }
    }
}
