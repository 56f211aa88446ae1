//! Time and memory of decisions, by the number of agents.

use std::time::Instant;

use bytes::Bytes;
use dispatch::{Action, Dispatcher, Policy, Submission};
use dispatch::{SwapOutcome, WaiterKey};
use execution::{Agent, AgentAction, AgentBuilder, CallOutcome};
use model::{
    AgentEnvelope, AgentInfo, EntryInfo, FirmKey, FirmShare, GroupKey, JobKey, JobMeta, JobSpec,
    KindKey, ProcessKey, TargetInfo, TaskSpec,
};
use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::deployment::{CONNECTIONS, SLOTS};
use crate::rules::rules;

/// Tasks of each job that is measured.
pub const JOB_TASKS: u16 = 10;

/// Simulated time of one round of submissions, in microseconds.
const STEP_US: u64 = 1_000;

/// Unix time at the start, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// Time that clients give a job, in milliseconds.
const DEADLINE_MS: u64 = 60_000;

/// Time for which announcements of targets count, in microseconds.
const TARGET_TTL_US: u64 = 1 << 50;

/// An entry with agents, all messages delivered at once.
pub struct Bench {
    dispatcher: Dispatcher,
    agents: FxHashMap<String, Agent>,
    calls: Vec<(String, execution::CallKey)>,
    firm: FirmKey,
    group: GroupKey,
    now_us: u64,
    next_job: u64,
    timing: Timing,
}

/// Time spent in decisions, and what was decided.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Timing {
    /// Time in the dispatcher, in nanoseconds.
    pub dispatcher_ns: u64,
    /// Time in agents, in nanoseconds.
    pub agents_ns: u64,
    /// Calls of the dispatcher.
    pub dispatcher_calls: u64,
    /// Envelopes between the entry and agents.
    pub envelopes: u64,
    /// Bytes of envelopes to agents.
    pub to_agents_bytes: u64,
    /// Bytes of envelopes to the entry.
    pub to_entry_bytes: u64,
    /// Tasks finished.
    pub tasks: u64,
}

impl Bench {
    /// Builds an entry that owns one shard on so many agents.
    #[must_use]
    pub fn new(agent_count: usize) -> Self {
        let firm = FirmKey::from_name("firm");
        let group = GroupKey::from_name("group");
        let info = EntryInfo {
            key: ProcessKey(1),
            address: "10.0.0.1:7000".to_owned(),
            failure_domain: "domain".to_owned(),
            firms: Vec::new(),
        };
        let mut dispatcher = Dispatcher::new(info, Policy::default(), 1);
        dispatcher.apply_rules(rules(&[FirmShare { firm, weight: 1 }], group, 1));
        dispatcher.mark_records_synced();
        let mut bench = Self {
            dispatcher,
            agents: FxHashMap::default(),
            calls: Vec::new(),
            firm,
            group,
            now_us: STEP_US,
            next_job: 0,
            timing: Timing::default(),
        };
        for number in 0..agent_count {
            bench.add_agent(number);
        }
        bench.settle();
        bench.timing = Timing::default();
        bench
    }

    fn add_agent(&mut self, number: usize) {
        let address = format!("10.1.{}.{}:7000", number / 250, number % 250);
        let key = ProcessKey(1_000 + number as u64);
        let target = TargetInfo {
            group: self.group,
            firms: vec![self.firm],
            slots: SLOTS,
            connections: CONNECTIONS,
        };
        let mut agent = AgentBuilder::new(key).build();
        let mut actions = Vec::new();
        agent.target_announced(self.now_us, target.clone(), TARGET_TTL_US, &mut actions);
        let info = AgentInfo {
            key,
            address: address.clone(),
            failure_domain: "domain".to_owned(),
            target: Some(target),
            draining: false,
        };
        self.dispatcher.agent_announced(info, self.now_us);
        self.agents.insert(address, agent);
    }

    /// Lets the entry claim its shard and fence the agents.
    fn settle(&mut self) {
        for _ in 0..10 {
            self.now_us += STEP_US;
            self.poll();
        }
    }

    /// Submits jobs, places and finishes their tasks.
    pub fn round(&mut self, jobs: u64) {
        self.now_us += STEP_US;
        for _ in 0..jobs {
            self.submit();
        }
        self.finish_calls();
    }

    /// Submits a job and lets the entry place what it can.
    pub fn submit(&mut self) {
        let spec = self.next_spec();
        let waiter = WaiterKey(self.next_job);
        let submission = Submission { spec, waiter };
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let began = Instant::now();
        self.dispatcher
            .submit(submission, now_us, now_unix_ms, &mut actions);
        self.count_dispatcher(began);
        self.perform(actions);
        self.poll();
    }

    /// Ends all calls of targets.
    pub fn finish_calls(&mut self) {
        while !self.calls.is_empty() {
            for (address, call) in std::mem::take(&mut self.calls) {
                let Some(agent) = self.agents.get_mut(&address) else {
                    continue;
                };
                let outcome = CallOutcome::Done(Bytes::from_static(b"done"));
                let mut actions = Vec::new();
                let began = Instant::now();
                agent.call_ended(self.now_us, call, outcome, &mut actions);
                self.timing.agents_ns += elapsed_ns(began);
                self.timing.tasks += 1;
                self.perform_agent(&address, actions);
                self.poll();
            }
        }
    }

    /// Submits jobs of which most wait, since no call ends.
    pub fn submit_waiting(&mut self, jobs: u64) {
        for _ in 0..jobs {
            self.submit();
        }
    }

    /// Forgets the agents, so that only the entry is left.
    pub fn drop_agents(&mut self) {
        self.agents = FxHashMap::default();
        self.calls = Vec::new();
    }

    /// Returns what was measured and begins anew.
    pub fn take_timing(&mut self) -> Timing {
        std::mem::take(&mut self.timing)
    }

    /// Moves the time on and lets everything due happen.
    pub fn pass_us(&mut self, passed_us: u64) {
        self.now_us += passed_us;
        self.poll();
    }

    fn poll(&mut self) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let began = Instant::now();
        self.dispatcher.poll(now_us, now_unix_ms, &mut actions);
        self.count_dispatcher(began);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, envelope } => self.deliver(&address, envelope),
                Action::CompareAndSwap { shard, .. } => {
                    let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
                    let mut actions = Vec::new();
                    self.dispatcher.compare_and_swap_done(
                        shard,
                        &SwapOutcome::Done(1),
                        now_us,
                        now_unix_ms,
                        &mut actions,
                    );
                    self.perform(actions);
                }
                Action::Answer { .. }
                | Action::Reroute { .. }
                | Action::ReadRecord { .. }
                | Action::HandOver { .. } => {}
            }
        }
    }

    fn deliver(&mut self, address: &str, envelope: model::OwnerEnvelope) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        self.timing.envelopes += 1;
        self.timing.to_agents_bytes += bincode::serialized_size(&envelope).unwrap_or(0);
        let Some(agent) = self.agents.get_mut(address) else {
            return;
        };
        let mut actions = Vec::new();
        let began = Instant::now();
        agent.handle(now_us, now_unix_ms, envelope, &mut actions);
        self.timing.agents_ns += elapsed_ns(began);
        self.perform_agent(address, actions);
    }

    fn perform_agent(&mut self, address: &str, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send(envelope) => self.receive(envelope),
                AgentAction::Invoke { call, .. } => self.calls.push((address.to_owned(), call)),
                AgentAction::Abort { .. } => {}
            }
        }
    }

    fn receive(&mut self, envelope: AgentEnvelope) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        self.timing.envelopes += 1;
        self.timing.to_entry_bytes += bincode::serialized_size(&envelope).unwrap_or(0);
        let mut actions = Vec::new();
        let began = Instant::now();
        self.dispatcher
            .agent_envelope(envelope, now_us, now_unix_ms, &mut actions);
        self.count_dispatcher(began);
        self.perform(actions);
    }

    fn count_dispatcher(&mut self, began: Instant) {
        self.timing.dispatcher_ns += elapsed_ns(began);
        self.timing.dispatcher_calls += 1;
    }

    fn next_spec(&mut self) -> JobSpec {
        self.next_job += 1;
        let id = format!("job-{}", self.next_job);
        let task = TaskSpec {
            kind: KindKey::from_name("kind"),
            declared_us: 1,
            payload: Bytes::from_static(&[7; 200]),
        };
        JobSpec {
            meta: JobMeta {
                key: JobKey::new(self.firm, &id),
                id,
                group: self.group,
                body_digest: u128::from(self.next_job),
                submitted_unix_ms: self.unix_ms(),
                deadline_unix_ms: self.unix_ms() + DEADLINE_MS,
                repeatable: false,
                task_count: JOB_TASKS,
            },
            tasks: vec![task; usize::from(JOB_TASKS)],
        }
    }

    fn unix_ms(&self) -> u64 {
        EPOCH_UNIX_MS + self.now_us / 1_000
    }
}

fn elapsed_ns(began: Instant) -> u64 {
    began.elapsed().as_nanos() as u64
}
