//! State of a shard at its owner: phases, authority, scheduling and deadlines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::{
    Answer, Attempt, FailureKind, FailureReason, FirmKey, GroupKey, JobKey, MemberState,
    OwnerMessage, ProcessKey, ShardHeartbeat, ShardKey, ShardRecord, Start, TaskKey, TaskStart,
};
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::action::{Action, Submission, WaiterKey};
use crate::admission::RateLimit;
use crate::agents::{AgentKey, Agents};
use crate::authority::authority_until_us;
use crate::counters::Counters;
use crate::job::{Job, JobSlot, TaskPhase};
use crate::mutation::{Mutation, Mutations};
use crate::placement::{self, PlacementRequest};
use crate::queue::Queue;
use crate::records::{Record, Records};
use crate::roster::{MemberView, member_views, release};
use crate::rules::{DispatchRules, Policy};
use crate::run_times::RunTimes;

/// Time after which an unacknowledged start is resent, in microseconds.
///
/// Well above a round trip between failure domains, well below the heartbeat timeout.
const START_RESEND_US: u64 = 400_000;

/// Interval at which an unanswered fence or revocation is resent, in microseconds.
pub const CONTROL_RESEND_US: u64 = 200_000;

/// The dispatcher's state, and the current time, for decisions of a shard.
pub struct ShardContext<'a> {
    pub now_us: u64,
    pub now_unix_ms: u64,
    pub agents: &'a mut Agents,
    pub run_times: &'a mut RunTimes,
    pub rules: &'a DispatchRules,
    pub policy: &'a Policy,
    pub counters: &'a mut Counters,
    pub rng: &'a mut SmallRng,
    pub mutations: Mutations,
    pub actions: &'a mut Vec<Action>,
}

impl ShardContext<'_> {
    pub fn answer(&mut self, waiter: WaiterKey, answer: Answer) {
        self.actions.push(Action::Answer { waiter, answer });
    }
}

/// Phase of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits until agents have answered the fence; admits no jobs.
    Fencing { since_us: u64 },
    /// Admits jobs and starts tasks.
    Serving,
}

/// A compare-and-swap of the shard's record that is planned or in flight.
#[derive(Debug)]
pub struct PendingSwap {
    pub record: ShardRecord,
    /// Whether the response to an attempt was lost, so that it may have taken effect.
    pub unknown: bool,
    /// Whether the next owner has reported the shard as its own.
    pub confirmed: bool,
    pub next_try_us: u64,
}

/// A submission that waits until the shard can decide about it.
#[derive(Debug)]
pub struct Parked {
    pub submission: Submission,
    pub park_until_us: u64,
}

/// A task of an answered job that may still be at an agent and is being revoked.
#[derive(Debug)]
pub struct Orphan {
    pub agent: AgentKey,
    pub attempt: Attempt,
    pub next_revoke_us: u64,
    pub abort: bool,
}

/// A shard owned by this entry.
pub struct Shard {
    pub key: ShardKey,
    pub record: ShardRecord,
    pub revision: u64,
    pub members: Vec<MemberView>,
    pub by_process: FxHashMap<ProcessKey, usize>,
    pub phase: Phase,
    /// Whether an earlier owner may have admitted jobs without handing over its table.
    pub is_unplanned_takeover: bool,
    /// Whether every agent on the roster answered the fence of the last takeover.
    pub complete: bool,
    /// Unknown submissions dated up to this time are refused, in Unix milliseconds.
    pub horizon_unix_ms: u64,
    pub swap: Option<PendingSwap>,
    pub next_swap_us: u64,
    pub authority_until_us: u64,
    pub jobs: SlotMap<JobSlot, Job>,
    pub by_key: FxHashMap<JobKey, JobSlot>,
    pub records: Records,
    pub queues: BTreeMap<GroupKey, Queue>,
    pub deadlines: BTreeSet<(u64, JobSlot)>,
    pub parked: VecDeque<Parked>,
    pub orphans: FxHashMap<TaskKey, Orphan>,
    pub unacknowledged: VecDeque<(u64, JobSlot, u16, Attempt)>,
    pub in_progress: u32,
    pub arrival_count: u64,
    pub rate: RateLimit,
    pub mutations: Mutations,
    round_robin_cursor: usize,
}

impl Shard {
    /// Builds the state of a shard whose record names this entry as the owner.
    pub fn new(
        record: ShardRecord,
        revision: u64,
        is_unplanned_takeover: bool,
        cx: &mut ShardContext<'_>,
    ) -> Self {
        let members = member_views(&record, cx.agents, cx.now_us);
        let mut shard = Self {
            key: record.shard,
            record,
            revision,
            members,
            by_process: FxHashMap::default(),
            phase: Phase::Fencing {
                since_us: cx.now_us,
            },
            is_unplanned_takeover,
            complete: true,
            horizon_unix_ms: 0,
            swap: None,
            next_swap_us: 0,
            authority_until_us: 0,
            jobs: SlotMap::with_key(),
            by_key: FxHashMap::default(),
            records: Records::default(),
            queues: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: VecDeque::new(),
            orphans: FxHashMap::default(),
            unacknowledged: VecDeque::new(),
            in_progress: 0,
            arrival_count: 0,
            rate: RateLimit::default(),
            mutations: cx.mutations,
            round_robin_cursor: 0,
        };
        shard.index_members();
        shard
    }

    pub fn firm(&self) -> FirmKey {
        self.key.firm
    }

    pub fn index_members(&mut self) {
        self.by_process = self
            .members
            .iter()
            .enumerate()
            .map(|(position, member)| (member.process, position))
            .collect();
    }

    pub fn member_mut(&mut self, process: ProcessKey) -> Option<&mut MemberView> {
        let position = *self.by_process.get(&process)?;
        self.members.get_mut(position)
    }

    /// Recomputes the end of the authority.
    ///
    /// During a roster change, both rosters must have acknowledged heartbeats by a majority.
    pub fn refresh_authority(&mut self) {
        let mut until_us = authority_until_us(self.members.iter());
        if let Some(swap) = &self.swap {
            until_us = until_us.min(self.authority_until_us_for(&swap.record));
        }
        self.authority_until_us = until_us;
    }

    fn authority_until_us_for(&self, record: &ShardRecord) -> u64 {
        let views: Vec<MemberView> = record
            .roster
            .iter()
            .map(|member| {
                let known = self.by_process.get(&member.agent);
                let acked_sent_us = known.map_or(0, |at| self.members[*at].acked_sent_us);
                let mut view = MemberView::new(member, AgentKey::default(), 0);
                view.acked_sent_us = acked_sent_us;
                view
            })
            .collect();
        authority_until_us(views.iter())
    }

    pub fn has_authority(&self, now_us: u64) -> bool {
        now_us < self.authority_until_us || self.mutations.has(Mutation::SkipAuthority)
    }

    /// Returns this shard's part of a heartbeat to an agent, if the agent is on the roster.
    pub fn heartbeat_for(
        &self,
        agent: ProcessKey,
        group: Option<GroupKey>,
    ) -> Option<ShardHeartbeat> {
        self.by_process.get(&agent)?;
        let backlog = group
            .and_then(|group| self.queues.get(&group))
            .map_or(0, |queue| queue.waiting_tasks);
        Some(ShardHeartbeat {
            shard: self.key,
            generation: self.record.generation,
            backlog,
        })
    }

    /// Returns the agents that may be sent tasks of a group: fenced active members.
    pub fn candidates(&self, group: GroupKey, agents: &Agents) -> Vec<AgentKey> {
        self.members
            .iter()
            .filter(|member| member.fenced && member.state == MemberState::Active)
            .filter(|member| {
                agents
                    .get(member.agent)
                    .is_some_and(|view| view.serves(self.firm(), group))
            })
            .map(|member| member.agent)
            .collect()
    }

    /// Does all work that is due: fences, deadlines, resends, parked submissions, scheduling.
    pub fn poll(&mut self, cx: &mut ShardContext<'_>) {
        self.send_fences(cx);
        self.finish_fencing(cx);
        self.expire_deadlines(cx);
        self.answer_expired_parked(cx);
        if self.phase != Phase::Serving {
            return;
        }
        self.retry_parked(cx);
        self.resend(cx);
        self.repeat_revocations(cx);
        self.schedule(cx);
    }

    /// Returns the next time at which something is due, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        let deadline = self.deadlines.first().map(|(at_us, _)| *at_us);
        let parked = self.parked.iter().map(|parked| parked.park_until_us).min();
        [deadline, parked].into_iter().flatten().min()
    }

    fn expire_deadlines(&mut self, cx: &mut ShardContext<'_>) {
        while let Some(&(deadline_us, slot)) = self.deadlines.first() {
            if deadline_us > cx.now_us {
                return;
            }
            self.deadlines.pop_first();
            let kind = self.failure_kind(slot, cx.now_us);
            self.fail_job(
                cx,
                slot,
                Answer::failed(kind, FailureReason::DeadlinePassed, "the deadline passed"),
            );
        }
    }

    /// Returns the failure kind that an answer may state if the job fails now.
    pub fn failure_kind(&self, slot: JobSlot, now_us: u64) -> FailureKind {
        let is_untouched = self.jobs.get(slot).is_some_and(Job::is_untouched);
        // Without authority another owner may be running the job. Until fencing ends, an agent
        // that has not answered yet may have run part of it.
        let is_fencing_complete =
            self.phase == Phase::Serving || self.mutations.has(Mutation::RefuseWhileFencing);
        if is_untouched && is_fencing_complete && self.has_authority(now_us) {
            return FailureKind::NotRun;
        }
        FailureKind::MayHaveRun
    }

    fn resend(&mut self, cx: &mut ShardContext<'_>) {
        while let Some(&(sent_us, slot, index, attempt)) = self.unacknowledged.front() {
            if cx.now_us < sent_us + START_RESEND_US {
                return;
            }
            self.unacknowledged.pop_front();
            self.resend_task(cx, slot, index, attempt);
        }
    }

    fn resend_task(
        &mut self,
        cx: &mut ShardContext<'_>,
        slot: JobSlot,
        index: u16,
        attempt: Attempt,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let task = &job.tasks[usize::from(index)];
        let TaskPhase::Sent {
            agent,
            acknowledged: false,
            ..
        } = task.phase
        else {
            return;
        };
        if task.attempt != attempt || !job.has_payloads {
            return;
        }
        if self.mutations.has(Mutation::RestartSentTask) {
            let key = TaskKey {
                job: job.meta.key,
                index,
            };
            self.requeue_task(cx, slot, key, agent);
            return;
        }
        self.unacknowledged
            .push_back((cx.now_us, slot, index, attempt));
        if !self.has_authority(cx.now_us) {
            return;
        }
        cx.counters.tasks_resent += 1;
        self.send_starts(cx, agent, slot, &[index]);
    }

    fn repeat_revocations(&mut self, cx: &mut ShardContext<'_>) {
        if self.orphans.is_empty() {
            return;
        }
        let mut due: FxHashMap<(AgentKey, bool), Vec<(TaskKey, Attempt)>> = FxHashMap::default();
        for (task, orphan) in &mut self.orphans {
            if orphan.next_revoke_us > cx.now_us {
                continue;
            }
            orphan.next_revoke_us = cx.now_us + CONTROL_RESEND_US;
            due.entry((orphan.agent, orphan.abort))
                .or_default()
                .push((*task, orphan.attempt));
        }
        for ((agent, abort), tasks) in due {
            self.send_revoke(cx, agent, tasks, abort);
        }
    }

    fn send_revoke(
        &self,
        cx: &mut ShardContext<'_>,
        agent: AgentKey,
        tasks: Vec<(TaskKey, Attempt)>,
        abort: bool,
    ) {
        if let Some(view) = cx.agents.get_mut(agent) {
            view.push(OwnerMessage::Revoke {
                shard: self.key,
                generation: self.record.generation,
                tasks,
                abort,
            });
        }
    }

    /// Sends waiting tasks to agents that have room.
    fn schedule(&mut self, cx: &mut ShardContext<'_>) {
        if !self.has_authority(cx.now_us) {
            return;
        }
        let groups: Vec<GroupKey> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.waiting_tasks > 0)
            .map(|(group, _)| *group)
            .collect();
        for group in groups {
            self.schedule_group(cx, group);
        }
    }

    fn schedule_group(&mut self, cx: &mut ShardContext<'_>, group: GroupKey) {
        let candidates = self.candidates(group, cx.agents);
        if candidates.is_empty() {
            return;
        }
        let quota = self.quota_tasks(cx.rules);
        let mut batches: BTreeMap<(JobSlot, AgentKey), Vec<u16>> = BTreeMap::new();
        while self.in_progress < quota {
            let Some((slot, index, agent)) = self.place_next(cx, group, &candidates) else {
                break;
            };
            batches.entry((slot, agent)).or_default().push(index);
        }
        for ((slot, agent), indexes) in batches {
            cx.counters.tasks_sent += indexes.len() as u64;
            cx.counters.start_messages += 1;
            self.send_starts(cx, agent, slot, &indexes);
        }
    }

    fn quota_tasks(&self, rules: &DispatchRules) -> u32 {
        let Some(firm) = rules.firm(self.firm()) else {
            return 0;
        };
        (firm.quota_tasks / u32::from(self.record.shard_count.max(1))).max(1)
    }

    fn place_next(
        &mut self,
        cx: &mut ShardContext<'_>,
        group: GroupKey,
        candidates: &[AgentKey],
    ) -> Option<(JobSlot, u16, AgentKey)> {
        let firm = self.firm();
        let queue = self.queues.get_mut(&group)?;
        let slot = queue.first()?;
        let job = &mut self.jobs[slot];
        let index = *job.waiting.last()?;
        let task = &mut job.tasks[usize::from(index)];
        let expected_us = cx
            .run_times
            .expected_us(firm, group, task.kind, task.declared_us);
        let request = PlacementRequest {
            expected_us,
            avoid_agent: task.avoid_agent,
            backlog_tasks: queue.waiting_tasks.saturating_sub(1),
        };
        let agent = placement::choose_agent(
            cx.policy,
            cx.agents,
            candidates,
            request,
            &mut self.round_robin_cursor,
            cx.rng,
            cx.now_us,
        );
        let Some(agent) = agent else {
            queue.throughput.stalled(cx.now_us);
            return None;
        };
        queue.throughput.placed(expected_us, cx.now_us);
        task.attempt = next_attempt(task.attempt, self.record.generation.0);
        task.attempts_made += 1;
        task.phase = TaskPhase::Sent {
            agent,
            sent_us: cx.now_us,
            acknowledged: false,
        };
        self.unacknowledged
            .push_back((cx.now_us, slot, index, task.attempt));
        job.waiting.pop();
        queue.remove_waiting(1, expected_us as u64);
        if job.waiting.is_empty() {
            queue.remove(job);
        }
        self.in_progress += 1;
        if let Some(view) = cx.agents.get_mut(agent) {
            view.outstanding += 1;
        }
        Some((slot, index, agent))
    }

    fn send_starts(
        &self,
        cx: &mut ShardContext<'_>,
        agent: AgentKey,
        slot: JobSlot,
        indexes: &[u16],
    ) {
        let job = &self.jobs[slot];
        let firm = self.firm();
        let tasks = indexes
            .iter()
            .map(|index| {
                let task = &job.tasks[usize::from(*index)];
                let group = job.meta.group;
                TaskStart {
                    index: *index,
                    attempt: task.attempt,
                    kind: task.kind,
                    expected_us: cx
                        .run_times
                        .expected_us(firm, group, task.kind, task.declared_us)
                        as u64,
                    payload: task.payload.clone(),
                }
            })
            .collect();
        let Some(view) = cx.agents.get_mut(agent) else {
            return;
        };
        let Some(permit) = view.permit else {
            return;
        };
        view.push(OwnerMessage::Start(Start {
            shard: self.key,
            generation: self.record.generation,
            permit,
            job: job.meta.clone(),
            remaining_us: job.deadline_us.saturating_sub(cx.now_us),
            tasks,
        }));
    }

    /// Queues tasks of a job until agents have room.
    pub fn enqueue(&mut self, cx: &mut ShardContext<'_>, slot: JobSlot, indexes: &[u16]) {
        let firm = self.firm();
        let job = &mut self.jobs[slot];
        let group = job.meta.group;
        let work_us = expected_work_us(cx.run_times, firm, job, indexes);
        let queue = self.queues.entry(group).or_default();
        queue.add_waiting(indexes.len() as u32, work_us as u64);
        queue.insert(slot, job, cx.policy.order);
    }

    /// Answers a job as failed and revokes its tasks at agents.
    pub fn fail_job(&mut self, cx: &mut ShardContext<'_>, slot: JobSlot, answer: Answer) {
        cx.counters.failed += 1;
        self.finish_job(cx, slot, answer);
    }

    /// Removes a job, answers its waiting requests and records the final answer.
    pub fn finish_job(&mut self, cx: &mut ShardContext<'_>, slot: JobSlot, answer: Answer) {
        let Some(mut job) = self.jobs.remove(slot) else {
            return;
        };
        self.by_key.remove(&job.meta.key);
        self.deadlines.remove(&(job.deadline_us, slot));
        self.remove_from_queue(cx, &mut job);
        self.revoke_sent_tasks(cx, &job);
        for waiter in std::mem::take(&mut job.waiters) {
            cx.answer(waiter, answer.clone());
        }
        let last_attempt = job.last_attempt();
        let mut record = Record::new(&job.meta, answer, last_attempt);
        // A submission that was refused for a conflicting body must stay refused.
        record.submitted_unix_ms = record.submitted_unix_ms.max(job.conflict_unix_ms);
        self.records.insert(record);
    }

    fn remove_from_queue(&mut self, cx: &mut ShardContext<'_>, job: &mut Job) {
        if job.queue_rank.is_none() {
            return;
        }
        let firm = self.firm();
        let Some(queue) = self.queues.get_mut(&job.meta.group) else {
            return;
        };
        queue.remove(job);
        let work_us = expected_work_us(cx.run_times, firm, job, &job.waiting);
        queue.remove_waiting(job.waiting.len() as u32, work_us as u64);
    }

    /// Revokes the tasks of a removed job that are still at agents.
    fn revoke_sent_tasks(&mut self, cx: &mut ShardContext<'_>, job: &Job) {
        for (index, task) in job.tasks.iter().enumerate() {
            let TaskPhase::Sent { agent, .. } = task.phase else {
                continue;
            };
            let key = TaskKey {
                job: job.meta.key,
                index: index as u16,
            };
            self.orphans.insert(
                key,
                Orphan {
                    agent,
                    attempt: task.attempt,
                    next_revoke_us: cx.now_us,
                    abort: false,
                },
            );
        }
        if !self.orphans.is_empty() {
            self.repeat_revocations(cx);
        }
    }

    /// Drops the shard and reroutes all waiting requests.
    pub fn close(mut self, cx: &mut ShardContext<'_>) {
        release(&self.members, cx.agents);
        for parked in self.parked.drain(..) {
            cx.actions.push(Action::Reroute {
                waiter: parked.submission.waiter,
            });
        }
        for (_, job) in self.jobs.drain() {
            release_outstanding(cx.agents, &job);
            for waiter in job.waiters {
                cx.actions.push(Action::Reroute { waiter });
            }
        }
        for orphan in self.orphans.values() {
            decrement(cx.agents, orphan.agent);
        }
    }
}

/// Returns the expected work of the given tasks of a job, in microseconds.
fn expected_work_us(run_times: &RunTimes, firm: FirmKey, job: &Job, indexes: &[u16]) -> f64 {
    let group = job.meta.group;
    let mut work_us = 0.0;
    for index in indexes {
        let task = &job.tasks[usize::from(*index)];
        work_us += run_times.expected_us(firm, group, task.kind, task.declared_us);
    }
    work_us
}

fn release_outstanding(agents: &mut Agents, job: &Job) {
    for task in &job.tasks {
        if let TaskPhase::Sent { agent, .. } = task.phase {
            decrement(agents, agent);
        }
    }
}

/// Decrements an agent's number of outstanding tasks.
pub fn decrement(agents: &mut Agents, agent: AgentKey) {
    if let Some(view) = agents.get_mut(agent) {
        view.outstanding = view.outstanding.saturating_sub(1);
    }
}

/// Returns an attempt number above `last` and above those of earlier generations.
fn next_attempt(last: Attempt, generation: u64) -> Attempt {
    const ATTEMPTS_PER_GENERATION: u64 = 4_096;
    let first = (generation.saturating_mul(ATTEMPTS_PER_GENERATION)) as u32;
    Attempt((last.0 + 1).max(first))
}
