//! A dispatcher with simulated agents that answer at once and hold each task until the test
//! finishes it.

use bytes::Bytes;
use dispatch::{
    Action, DispatchRules, Dispatcher, FirmRules, GroupRules, Policy, Submission, SwapOutcome,
    WaiterKey,
};
use model::{
    AgentEnvelope, AgentInfo, AgentMessage, Answer, EntryInfo, FirmKey, GroupKey, HeartbeatAck,
    JobKey, JobMeta, JobSpec, KindKey, Load, OwnerEnvelope, OwnerMessage, Permit, ProcessKey,
    Rules, TargetInfo, TaskKey, TaskOutcome, TaskSpec,
};

/// Slots of each target.
pub const SLOTS: u16 = 2;

const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// A task at an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    pub agent: usize,
    pub message: AgentMessage,
    pub task: TaskKey,
}

pub struct Harness {
    pub dispatcher: Dispatcher,
    pub held: Vec<Held>,
    pub answers: Vec<(u64, Answer)>,
    pub now_us: u64,
    group: GroupKey,
    next_job: u64,
}

impl Harness {
    pub fn new(agents: usize, firms: &[&str], policy: Policy) -> Self {
        let group = GroupKey::from_name("group");
        let firms: Vec<FirmKey> = firms.iter().map(|name| FirmKey::from_name(name)).collect();
        let own_info = EntryInfo {
            key: ProcessKey(1),
            address: "10.0.0.1:1".to_owned(),
            failure_domain: "domain".to_owned(),
            firms: Vec::new(),
        };
        let mut dispatcher = Dispatcher::new(own_info, policy, 1);
        dispatcher.apply_rules(rules(&firms, group));
        dispatcher.mark_records_synced();
        for agent in 0..agents {
            dispatcher.agent_announced(agent_info(agent, &firms, group), 1);
        }
        let mut harness = Self {
            dispatcher,
            held: Vec::new(),
            answers: Vec::new(),
            now_us: 1,
            group,
            next_job: 0,
        };
        // Claims the shard, fences its agents and exchanges the first heartbeats.
        for _ in 0..5 {
            harness.advance_ms(1);
        }
        harness
    }

    /// Advances the time in steps short enough for heartbeats.
    pub fn advance_ms(&mut self, duration_ms: u64) {
        for step_ms in
            std::iter::repeat_n(50, (duration_ms / 50) as usize).chain([duration_ms % 50])
        {
            self.now_us += step_ms * 1_000;
            let mut actions = Vec::new();
            self.dispatcher
                .poll(self.now_us, self.unix_ms(), &mut actions);
            self.perform(actions);
        }
    }

    /// Submits a job and returns its number.
    pub fn submit(&mut self, firm: &str, tasks: u16, task_ms: u64, deadline_ms: u64) -> u64 {
        self.next_job += 1;
        let id = format!("job-{}", self.next_job);
        let task = TaskSpec {
            kind: KindKey::from_name(&format!("{task_ms}")),
            declared_us: task_ms * 1_000,
            payload: Bytes::new(),
        };
        let meta = JobMeta {
            key: JobKey::new(FirmKey::from_name(firm), &id),
            id,
            group: self.group,
            body_digest: u128::from(self.next_job),
            submitted_unix_ms: self.unix_ms(),
            deadline_unix_ms: self.unix_ms() + deadline_ms,
            repeatable: false,
            task_count: tasks,
        };
        let spec = JobSpec {
            meta,
            tasks: vec![task; usize::from(tasks)],
        };
        let waiter = WaiterKey(self.next_job);
        let mut actions = Vec::new();
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher.submit(
            Submission { spec, waiter },
            now_us,
            now_unix_ms,
            &mut actions,
        );
        self.perform(actions);
        self.advance_ms(1);
        self.next_job
    }

    /// Finishes the oldest task at an agent and returns its key.
    pub fn finish(&mut self, agent: usize, outcome: TaskOutcome, ran_ms: u64) -> TaskKey {
        let at = self.held.iter().position(|held| held.agent == agent);
        let mut held = self.held.remove(at.expect("the agent holds a task"));
        if let AgentMessage::Finished {
            outcome: slot,
            ran_us,
            ..
        } = &mut held.message
        {
            *slot = outcome;
            *ran_us = ran_ms * 1_000;
        }
        self.reply(agent, vec![held.message]);
        self.advance_ms(1);
        held.task
    }

    pub fn done(&mut self, agent: usize, ran_ms: u64) -> TaskKey {
        self.finish(agent, TaskOutcome::Done(Bytes::new()), ran_ms)
    }

    pub fn fail(&mut self, agent: usize) -> TaskKey {
        self.finish(agent, TaskOutcome::Failed("failed".to_owned()), 1)
    }

    pub fn held_by_agent(&self, agent: usize) -> usize {
        self.held.iter().filter(|held| held.agent == agent).count()
    }

    pub fn held_by_firm(&self, firm: &str) -> usize {
        let firm = FirmKey::from_name(firm);
        let is_of_firm = |held: &&Held| held.task.job.firm == firm;
        self.held.iter().filter(is_of_firm).count()
    }

    pub fn answer(&self, job: u64) -> Option<&Answer> {
        let found = self.answers.iter().find(|(number, _)| *number == job);
        found.map(|(_, answer)| answer)
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { envelope, .. } => self.deliver(envelope),
                Action::Answer { waiter, answer } => self.answers.push((waiter.0, answer)),
                Action::CompareAndSwap { shard, .. } => {
                    let mut next = Vec::new();
                    let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
                    let done = SwapOutcome::Done(1);
                    self.dispatcher.compare_and_swap_done(
                        shard,
                        &done,
                        now_us,
                        now_unix_ms,
                        &mut next,
                    );
                    self.perform(next);
                }
                Action::Reroute { .. } | Action::ReadRecord { .. } | Action::HandOver { .. } => {}
            }
        }
    }

    fn deliver(&mut self, envelope: OwnerEnvelope) {
        let agent = (envelope.to.0 - 100) as usize;
        let mut replies = Vec::new();
        for message in envelope.messages {
            match message {
                OwnerMessage::Fence(fence) => replies.push(AgentMessage::Fenced {
                    shard: fence.shard,
                    generation: fence.generation,
                    part: 0,
                    part_count: 1,
                    jobs: Vec::new(),
                }),
                OwnerMessage::Heartbeat(beat) => {
                    let shards = beat.shards.iter().map(|at| (at.shard, at.generation));
                    replies.push(AgentMessage::HeartbeatAck(HeartbeatAck {
                        sent_us: beat.sent_us,
                        shards: shards.collect(),
                        permit: Permit {
                            agent: envelope.to,
                            expires_us: u64::MAX,
                        },
                    }));
                }
                OwnerMessage::Start(start) => {
                    let tasks: Vec<_> = start
                        .tasks
                        .iter()
                        .map(|task| {
                            let key = TaskKey {
                                job: start.job.key,
                                index: task.index,
                            };
                            (key, task.attempt)
                        })
                        .collect();
                    for &(task, attempt) in &tasks {
                        let message = AgentMessage::Finished {
                            shard: start.shard,
                            task,
                            attempt,
                            outcome: TaskOutcome::Done(Bytes::new()),
                            ran_us: 0,
                        };
                        self.held.push(Held {
                            agent,
                            message,
                            task,
                        });
                    }
                    replies.push(AgentMessage::Accepted {
                        shard: start.shard,
                        tasks,
                    });
                }
                _ => {}
            }
        }
        if !replies.is_empty() {
            self.reply(agent, replies);
        }
    }

    fn reply(&mut self, agent: usize, messages: Vec<AgentMessage>) {
        let envelope = AgentEnvelope {
            from: ProcessKey(100 + agent as u64),
            to: ProcessKey(1),
            load: Load {
                window: SLOTS + 4,
                ready: true,
                ..Load::default()
            },
            messages,
        };
        let mut actions = Vec::new();
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        self.dispatcher
            .agent_envelope(envelope, now_us, now_unix_ms, &mut actions);
        self.perform(actions);
    }

    fn unix_ms(&self) -> u64 {
        EPOCH_UNIX_MS + self.now_us / 1_000
    }
}

fn agent_info(agent: usize, firms: &[FirmKey], group: GroupKey) -> AgentInfo {
    AgentInfo {
        key: ProcessKey(100 + agent as u64),
        address: format!("10.0.1.{agent}:1"),
        failure_domain: "domain".to_owned(),
        target: Some(TargetInfo {
            group,
            firms: firms.to_vec(),
            slots: SLOTS,
            connections: SLOTS,
        }),
        draining: false,
    }
}

fn rules(firms: &[FirmKey], group: GroupKey) -> DispatchRules {
    let firm_rules = |&firm: &FirmKey| FirmRules {
        firm,
        shard_count: 1,
        quota_tasks: 1_000,
        max_queue_tasks: 1_000,
        rate_tasks_per_s: None,
        burst_tasks: 0,
    };
    DispatchRules {
        revision: 1,
        firms: firms.iter().map(firm_rules).collect(),
        groups: vec![GroupRules {
            group,
            firms: firms.to_vec(),
            max_attempts: 3,
            max_eject_percent: 50,
        }],
        agent_rules: Rules::default(),
    }
}
