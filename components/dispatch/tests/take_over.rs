//! Regression tests of takeovers: faults found by fault injection, each reduced to the shortest
//! sequence of events.

use bytes::Bytes;
use dispatch::{
    Action, DispatchRules, Dispatcher, FirmRules, GroupRules, Policy, Route, Submission,
    SwapOutcome, WaiterKey,
};
use model::{
    AgentEnvelope, AgentInfo, AgentMessage, Answer, Attempt, EntryInfo, FailureKind, FirmKey,
    Generation, GroupKey, HeartbeatAck, JobKey, JobMeta, JobRecord, JobSpec, KindKey, Load, Member,
    MemberState, OwnerMessage, Permit, ProcessKey, Rules, ShardKey, ShardRecord, TargetInfo,
    TaskRecord, TaskSpec, TaskState,
};

const OWN_KEY: ProcessKey = ProcessKey(1);
const OLD_OWNER: ProcessKey = ProcessKey(2);
const AGENTS: [ProcessKey; 3] = [ProcessKey(11), ProcessKey(12), ProcessKey(13)];
const FIRM: FirmKey = FirmKey(1);
const GROUP: GroupKey = GroupKey(1);
const SHARD: ShardKey = ShardKey {
    firm: FIRM,
    index: 0,
};
const START_US: u64 = 1_000_000;
const START_UNIX_MS: u64 = 1_000_000_000;

struct Harness {
    dispatcher: Dispatcher,
    now_us: u64,
    actions: Vec<Action>,
}

impl Harness {
    fn new() -> Self {
        let own_info = EntryInfo {
            key: OWN_KEY,
            address: "me:1".to_owned(),
            failure_domain: String::new(),
            firms: Vec::new(),
        };
        let mut dispatcher = Dispatcher::new(own_info, Policy::default(), 7);
        dispatcher.apply_rules(rules(1));
        let mut harness = Self {
            dispatcher,
            now_us: START_US,
            actions: Vec::new(),
        };
        for agent in AGENTS {
            harness.announce(agent);
        }
        harness
    }

    /// Returns an entry that has just taken over a shard from an owner that never responded.
    fn taken_over() -> Self {
        Self::new().take_over()
    }

    fn take_over(mut self) -> Self {
        let harness = &mut self;
        harness.dispatcher.mark_records_synced();
        harness.deliver_record(record(OLD_OWNER, 1), 5);
        harness.advance(2_100_000);
        let swaps = harness
            .take_actions()
            .into_iter()
            .filter(|action| matches!(action, Action::CompareAndSwap { .. }));
        assert_eq!(swaps.count(), 1);
        let (now_us, unix_ms) = (harness.now_us, harness.unix_ms());
        let done = SwapOutcome::Done(6);
        harness.dispatcher.compare_and_swap_done(
            SHARD,
            &done,
            now_us,
            unix_ms,
            &mut harness.actions,
        );
        harness.poll();
        self
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_us / 1_000
    }

    fn announce(&mut self, agent: ProcessKey) {
        let info = AgentInfo {
            key: agent,
            address: format!("agent:{agent}"),
            failure_domain: String::new(),
            target: Some(TargetInfo {
                group: GROUP,
                firms: vec![FIRM],
                slots: 4,
                connections: 4,
            }),
            draining: false,
        };
        self.dispatcher.agent_announced(info, self.now_us);
    }

    fn deliver_record(&mut self, record: ShardRecord, revision: u64) {
        let (now_us, unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher
            .apply_record(record, revision, now_us, unix_ms, &mut self.actions);
    }

    fn poll(&mut self) {
        let (now_us, unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher.poll(now_us, unix_ms, &mut self.actions);
    }

    fn advance(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while self.now_us < end_us {
            self.now_us = end_us.min(self.now_us + 100_000);
            self.poll();
        }
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn receive(&mut self, from: ProcessKey, message: AgentMessage) {
        let envelope = AgentEnvelope {
            from,
            to: OWN_KEY,
            load: Load {
                window: 4,
                ready: true,
                ..Load::default()
            },
            messages: vec![message],
        };
        let (now_us, unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher
            .agent_envelope(envelope, now_us, unix_ms, &mut self.actions);
    }

    fn fenced(&mut self, from: ProcessKey, jobs: Vec<JobRecord>) {
        let message = AgentMessage::Fenced {
            shard: SHARD,
            generation: Generation(2),
            part: 0,
            part_count: 1,
            jobs,
        };
        self.receive(from, message);
    }

    fn acknowledge_heartbeat(&mut self, from: ProcessKey) {
        let ack = HeartbeatAck {
            sent_us: self.now_us,
            shards: vec![(SHARD, Generation(2))],
            permit: Permit {
                agent: from,
                expires_us: u64::MAX,
            },
        };
        self.receive(from, AgentMessage::HeartbeatAck(ack));
    }

    fn submit(&mut self, spec: JobSpec, waiter: u64) {
        let submission = Submission {
            spec,
            waiter: WaiterKey(waiter),
        };
        let (now_us, unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher
            .submit(submission, now_us, unix_ms, &mut self.actions);
        self.poll();
    }

    fn answer_to(&mut self, waiter: u64) -> Option<FailureKind> {
        self.take_actions()
            .into_iter()
            .find_map(|action| match action {
                Action::Answer {
                    waiter: WaiterKey(found),
                    answer: Answer::Failed(failure),
                } if found == waiter => Some(failure.kind),
                _ => None,
            })
    }
}

fn rules(revision: u64) -> DispatchRules {
    DispatchRules {
        revision,
        firms: vec![FirmRules {
            firm: FIRM,
            shard_count: 1,
            quota_tasks: 100,
            max_queue_tasks: 100,
            rate_tasks_per_s: None,
            burst_tasks: 100,
        }],
        groups: vec![GroupRules {
            group: GROUP,
            firms: vec![FIRM],
            max_attempts: 3,
            max_eject_percent: 30,
        }],
        agent_rules: Rules {
            revision,
            shares: Vec::new(),
        },
    }
}

fn record(owner: ProcessKey, generation: u64) -> ShardRecord {
    let member = |agent: ProcessKey| Member {
        agent,
        address: format!("agent:{agent}"),
        state: MemberState::Active,
    };
    ShardRecord {
        shard: SHARD,
        shard_count: 1,
        generation: Generation(generation),
        owner,
        owner_address: "owner:1".to_owned(),
        roster: AGENTS.map(member).to_vec(),
    }
}

fn job(body: u128, submitted_unix_ms: u64, deadline_unix_ms: u64) -> JobSpec {
    let task = TaskSpec {
        kind: KindKey(1),
        declared_us: 1_000,
        payload: Bytes::from_static(b"payload"),
    };
    JobSpec {
        meta: JobMeta {
            key: JobKey::new(FIRM, "job"),
            id: "job".to_owned(),
            group: GROUP,
            body_digest: body,
            submitted_unix_ms,
            deadline_unix_ms,
            repeatable: false,
            task_count: 2,
        },
        tasks: vec![task.clone(), task],
    }
}

fn job_record(spec: &JobSpec, state: TaskState) -> JobRecord {
    JobRecord {
        meta: spec.meta.clone(),
        tasks: vec![TaskRecord {
            index: 0,
            attempt: Attempt(4_096),
            state,
        }],
    }
}

#[test]
fn expired_submission_after_takeover_is_answered_may_have_run() {
    let mut harness = Harness::taken_over();
    for agent in &AGENTS[..2] {
        harness.fenced(*agent, Vec::new());
    }
    harness.advance(600_000);
    for agent in &AGENTS[..2] {
        harness.acknowledge_heartbeat(*agent);
    }
    let past_unix_ms = harness.unix_ms() - 1_000;
    harness.take_actions();
    harness.submit(job(1, past_unix_ms - 1_000, past_unix_ms), 1);
    assert_eq!(harness.answer_to(1), Some(FailureKind::MayHaveRun));
}

fn cancel_during_fencing(mut harness: Harness) -> FailureKind {
    let spec = job(1, harness.unix_ms() - 100, harness.unix_ms() + 9_000);
    harness.fenced(AGENTS[0], vec![job_record(&spec, TaskState::NotStarted)]);
    harness.fenced(AGENTS[1], Vec::new());
    for agent in &AGENTS[..2] {
        harness.acknowledge_heartbeat(*agent);
    }
    let (now_us, unix_ms) = (harness.now_us, harness.unix_ms());
    let answer = harness
        .dispatcher
        .cancel(spec.meta.key, now_us, unix_ms, &mut harness.actions);
    let Some(Answer::Failed(failure)) = answer else {
        panic!("the job is known");
    };
    failure.kind
}

#[test]
fn job_cancelled_during_fencing_is_answered_may_have_run() {
    let kind = cancel_during_fencing(Harness::taken_over());
    assert_eq!(kind, FailureKind::MayHaveRun);
}

#[cfg(feature = "mutants")]
#[test]
fn refuse_while_fencing_mutant_answers_not_run() {
    let mut harness = Harness::new();
    harness
        .dispatcher
        .mutate(dispatch::Mutation::RefuseWhileFencing);
    let harness = harness.take_over();
    assert_eq!(cancel_during_fencing(harness), FailureKind::NotRun);
}

fn deliver_stale_record(mut harness: Harness) -> Route {
    let own_record = record(OWN_KEY, 2);
    harness.deliver_record(record(ProcessKey(3), 3), 8);
    harness.deliver_record(own_record, 7);
    harness.poll();
    harness.advance(4_000_000);
    harness.dispatcher.route(JobKey::new(FIRM, "job"))
}

#[cfg(feature = "mutants")]
#[test]
fn adopt_late_record_mutant_restores_the_shard() {
    let mut harness = Harness::new();
    harness
        .dispatcher
        .mutate(dispatch::Mutation::AdoptLateRecord);
    let harness = harness.take_over();
    assert_eq!(deliver_stale_record(harness), Route::Own(SHARD));
}

#[test]
fn stale_record_does_not_restore_the_shard() {
    let route = deliver_stale_record(Harness::taken_over());
    assert!(matches!(route, Route::Other { owner, .. } if owner == ProcessKey(3)));
}

#[test]
fn conflicting_body_is_not_refused_without_authority() {
    let mut harness = Harness::taken_over();
    let unix_ms = harness.unix_ms();
    let first = job(1, unix_ms + 3_000, unix_ms + 9_000);
    for agent in AGENTS {
        harness.fenced(agent, Vec::new());
        harness.acknowledge_heartbeat(agent);
    }
    harness.advance(500_000);
    for _ in 0..6 {
        AGENTS
            .iter()
            .for_each(|agent| harness.acknowledge_heartbeat(*agent));
        harness.advance(500_000);
    }
    AGENTS
        .iter()
        .for_each(|agent| harness.acknowledge_heartbeat(*agent));
    harness.submit(first, 1);
    harness.advance(1_500_000);
    harness.take_actions();
    harness.submit(job(2, unix_ms + 4_000, unix_ms + 9_000), 2);
    assert_eq!(harness.answer_to(2), None);
}

#[test]
fn rules_are_resent_until_the_agent_reports_their_revision() {
    let mut harness = Harness::taken_over();
    let mut rounds_sent = 0;
    for _ in 0..3 {
        harness.acknowledge_heartbeat(AGENTS[0]);
        harness.advance(1_200_000);
        let sent = harness
            .take_actions()
            .into_iter()
            .any(|action| match action {
                Action::Send { envelope, .. } => envelope
                    .messages
                    .iter()
                    .any(|message| matches!(message, OwnerMessage::Configure(_))),
                _ => false,
            });
        rounds_sent += u32::from(sent);
    }
    assert_eq!(rounds_sent, 3);
}

#[test]
fn stale_announcement_of_a_dead_incarnation_is_ignored() {
    let mut harness = Harness::taken_over();
    let announce = |harness: &mut Harness, key| {
        let info = AgentInfo {
            key,
            address: "agent:one".to_owned(),
            failure_domain: String::new(),
            target: None,
            draining: false,
        };
        let now_us = harness.now_us;
        harness.dispatcher.agent_announced(info, now_us);
    };
    let (dead, live) = (ProcessKey(21), ProcessKey(22));
    announce(&mut harness, dead);
    announce(&mut harness, live);
    announce(&mut harness, dead);
    harness.advance(9_000_000);
    announce(&mut harness, live);
    harness.advance(2_000_000);
    let state = harness.dispatcher.state(harness.now_us, None);
    let known: Vec<_> = state.agents.iter().map(|agent| &agent.agent).collect();
    assert!(known.contains(&&live.to_string()));
}

/// Returns whether the new owner serves after a takeover in which one agent answered the fence
/// and the given agents have ended.
fn is_serving_after(ended: &[ProcessKey]) -> bool {
    let mut harness = Harness::taken_over();
    harness.fenced(AGENTS[0], Vec::new());
    for agent in ended {
        harness.dispatcher.mark_agent_ended(*agent);
    }
    harness.advance(1_000_000);
    let state = harness.dispatcher.state(harness.now_us, None);
    state.shards[0].phase == "serving"
}

#[test]
fn ended_agents_count_as_fenced_for_a_new_owner() {
    assert!(!is_serving_after(&[]));
    assert!(is_serving_after(&[AGENTS[1]]));
    assert!(is_serving_after(&[AGENTS[1], AGENTS[2]]));
}

#[test]
fn takeover_despite_ended_agents_answers_earlier_jobs_as_may_have_run() {
    let mut harness = Harness::taken_over();
    harness.fenced(AGENTS[0], Vec::new());
    harness.dispatcher.mark_agent_ended(AGENTS[1]);
    harness.advance(1_000_000);
    harness.acknowledge_heartbeat(AGENTS[0]);
    let now_unix_ms = harness.unix_ms();
    let spec = job(1, now_unix_ms - 10, now_unix_ms + 60_000);
    harness.submit(spec, 1);
    harness.advance(10_000_000);
    assert_eq!(harness.answer_to(1), Some(FailureKind::MayHaveRun));
}

#[test]
fn parked_submission_is_answered_when_the_process_abandons_it() {
    let mut harness = Harness::taken_over();
    let now_unix_ms = harness.unix_ms();
    harness.submit(job(1, now_unix_ms - 10, now_unix_ms + 60_000), 1);
    assert_eq!(harness.answer_to(1), None);
    harness.dispatcher.fail_waiters(&mut harness.actions);
    assert_eq!(harness.answer_to(1), Some(FailureKind::MayHaveRun));
}

fn peer(key: ProcessKey) -> EntryInfo {
    EntryInfo {
        key,
        address: format!("entry:{key}"),
        failure_domain: String::new(),
        firms: Vec::new(),
    }
}

fn swaps(actions: &[Action]) -> usize {
    let is_swap = |action: &&Action| matches!(action, Action::CompareAndSwap { .. });
    actions.iter().filter(is_swap).count()
}

#[test]
fn claim_without_effect_is_dropped_once_the_owner_responds_again() {
    let mut harness = Harness::new();
    harness.dispatcher.mark_records_synced();
    harness.deliver_record(record(OLD_OWNER, 1), 5);
    harness.advance(2_100_000);
    assert_eq!(swaps(&harness.take_actions()), 1);
    let (now_us, unix_ms) = (harness.now_us, harness.unix_ms());
    let refused = SwapOutcome::NotApplied;
    harness.dispatcher.compare_and_swap_done(
        SHARD,
        &refused,
        now_us,
        unix_ms,
        &mut harness.actions,
    );
    for _ in 0..8 {
        let now_us = harness.now_us;
        harness
            .dispatcher
            .peer_responded(peer(OLD_OWNER), true, now_us);
        harness.advance(200_000);
    }
    assert_eq!(swaps(&harness.take_actions()), 0);
}

#[test]
fn draining_waits_until_a_temporarily_silent_receiver_accepts_the_table() {
    let mut harness = Harness::taken_over();
    for agent in AGENTS {
        harness.fenced(agent, Vec::new());
        harness.acknowledge_heartbeat(agent);
    }
    harness.advance(100_000);
    let now_us = harness.now_us;
    harness
        .dispatcher
        .peer_responded(peer(ProcessKey(3)), false, now_us);
    harness.take_actions();
    harness.dispatcher.drain();
    harness.poll();
    assert_eq!(swaps(&harness.take_actions()), 1);
    let (now_us, unix_ms) = (harness.now_us, harness.unix_ms());
    let done = SwapOutcome::Done(7);
    harness
        .dispatcher
        .compare_and_swap_done(SHARD, &done, now_us, unix_ms, &mut harness.actions);
    harness.advance(1_100_000);
    assert!(!harness.dispatcher.has_released_all());
    let now_us = harness.now_us;
    harness.dispatcher.table_offer_answered(SHARD, true, now_us);
    assert!(harness.dispatcher.has_released_all());
}
