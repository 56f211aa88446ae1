//! Test harness: an agent with a manual clock, and constructors of its input messages.

use bytes::Bytes;
use execution::{Agent, AgentAction, AgentBuilder, CallKey, CallOutcome};
use model::{
    AgentEnvelope, AgentMessage, Attempt, Fence, FirmKey, Generation, GroupKey, Heartbeat,
    JobDigest, JobKey, JobMeta, JobRecord, KindKey, Load, OwnerEnvelope, OwnerMessage, Permit,
    ProcessKey, RefusalReason, ShardHeartbeat, ShardKey, Start, TargetInfo, TaskKey, TaskStart,
    TaskState,
};

pub const AGENT: ProcessKey = ProcessKey(1);
pub const OWNER: ProcessKey = ProcessKey(10);
pub const OTHER: ProcessKey = ProcessKey(11);
pub const FIRM: FirmKey = FirmKey(1);
pub const OTHER_FIRM: FirmKey = FirmKey(2);
pub const GROUP: GroupKey = GroupKey(1);
pub const SHARD: ShardKey = ShardKey {
    firm: FIRM,
    index: 0,
};
pub const OTHER_SHARD: ShardKey = ShardKey {
    firm: OTHER_FIRM,
    index: 0,
};
pub const START_UNIX_MS: u64 = 1_000_000;

pub struct Harness {
    pub agent: Agent,
    pub now_us: u64,
    pub now_unix_ms: u64,
}

impl Harness {
    pub fn new(builder: AgentBuilder) -> Self {
        Self {
            agent: builder.build(),
            now_us: 1_000,
            now_unix_ms: START_UNIX_MS,
        }
    }

    /// Builds an agent with a target of `slots`, fenced by `OWNER` with generation 1.
    pub fn fenced(builder: AgentBuilder, slots: u16) -> Self {
        let mut harness = Self::new(builder);
        harness.announce(slots);
        harness.send(OWNER, fence(SHARD, 1));
        harness.send(OWNER, fence(OTHER_SHARD, 1));
        harness
    }

    pub fn with_slots(slots: u16) -> Self {
        Self::fenced(AgentBuilder::new(AGENT), slots)
    }

    pub fn announce(&mut self, slots: u16) -> Vec<AgentAction> {
        let info = target(slots, 64);
        let mut actions = Vec::new();
        self.agent
            .target_announced(self.now_us, info, u64::MAX, &mut actions);
        actions
    }

    pub fn deliver(&mut self, envelope: OwnerEnvelope) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.agent
            .handle(self.now_us, self.now_unix_ms, envelope, &mut actions);
        actions
    }

    pub fn send(&mut self, from: ProcessKey, message: OwnerMessage) -> Vec<AgentAction> {
        self.deliver(envelope(from, vec![message]))
    }

    pub fn start(&mut self, job: u64, attempt: u32) -> Vec<AgentAction> {
        let start = self.make_start(job, attempt);
        self.send(OWNER, OwnerMessage::Start(start))
    }

    /// Makes a valid start of task 0 of a job of `FIRM` with generation 1.
    pub fn make_start(&self, job: u64, attempt: u32) -> Start {
        start_message(SHARD, job, &[(0, attempt)], self.now_us)
    }

    pub fn done(&mut self, call: CallKey, outcome: CallOutcome) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.agent
            .call_ended(self.now_us, call, outcome, &mut actions);
        actions
    }

    /// Starts a task, which the agent must invoke immediately, and ends the call.
    pub fn run(&mut self, job: u64, outcome: CallOutcome) -> Vec<AgentAction> {
        let call = calls(&self.start(job, 1))[0];
        self.done(call, outcome)
    }

    pub fn tick_after(&mut self, elapsed_us: u64) -> Vec<AgentAction> {
        self.now_us += elapsed_us;
        let mut actions = Vec::new();
        self.agent.tick(self.now_us, self.now_unix_ms, &mut actions);
        actions
    }

    pub fn drain(&mut self) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.agent.drain(self.now_us, &mut actions);
        actions
    }

    pub fn beat(&mut self, from: ProcessKey, beats: &[(ShardKey, u64, u32)]) -> Vec<AgentAction> {
        let shards = beats
            .iter()
            .map(|&(shard, generation, backlog)| ShardHeartbeat {
                shard,
                generation: Generation(generation),
                backlog,
            })
            .collect();
        self.send(
            from,
            OwnerMessage::Heartbeat(Heartbeat { sent_us: 7, shards }),
        )
    }
}

pub fn target(slots: u16, connections: u16) -> TargetInfo {
    TargetInfo {
        group: GROUP,
        firms: vec![FIRM, OTHER_FIRM],
        slots,
        connections,
    }
}

pub fn envelope(from: ProcessKey, messages: Vec<OwnerMessage>) -> OwnerEnvelope {
    OwnerEnvelope {
        from,
        from_address: String::new(),
        to: AGENT,
        messages,
    }
}

pub fn fence(shard: ShardKey, generation: u64) -> OwnerMessage {
    OwnerMessage::Fence(Fence {
        shard,
        generation: Generation(generation),
    })
}

pub fn revoke(job: u64, attempt: u32, abort: bool) -> OwnerMessage {
    OwnerMessage::Revoke {
        shard: SHARD,
        generation: Generation(1),
        tasks: vec![(task(job), Attempt(attempt))],
        abort,
    }
}

pub fn received(jobs: &[u64]) -> OwnerMessage {
    let tasks = jobs.iter().map(|&job| task(job)).collect();
    OwnerMessage::Received {
        shard: SHARD,
        tasks,
    }
}

pub fn start_message(shard: ShardKey, job: u64, tasks: &[(u16, u32)], now_us: u64) -> Start {
    let task = |&(index, attempt): &(u16, u32)| TaskStart {
        index,
        attempt: Attempt(attempt),
        kind: KindKey(0),
        expected_us: 100_000,
        payload: Bytes::from_static(b"body"),
    };
    Start {
        shard,
        generation: Generation(1),
        permit: Permit {
            agent: AGENT,
            expires_us: now_us + 1_000_000,
        },
        job: JobMeta {
            key: job_key(shard.firm, job),
            id: format!("job-{job}"),
            group: GROUP,
            body_digest: 0,
            submitted_unix_ms: START_UNIX_MS,
            deadline_unix_ms: START_UNIX_MS + 60_000,
            repeatable: false,
            task_count: 4,
        },
        remaining_us: 60_000_000,
        tasks: tasks.iter().map(task).collect(),
    }
}

pub fn job_key(firm: FirmKey, job: u64) -> JobKey {
    JobKey {
        firm,
        digest: JobDigest(u128::from(job)),
    }
}

/// Returns the key of task 0 of a job of `FIRM`.
pub fn task(job: u64) -> TaskKey {
    TaskKey {
        job: job_key(FIRM, job),
        index: 0,
    }
}

fn pick<T>(actions: &[AgentAction], choose: impl Fn(&AgentAction) -> Option<T>) -> Vec<T> {
    actions.iter().filter_map(choose).collect()
}

fn pick_messages<T>(actions: &[AgentAction], choose: impl Fn(AgentMessage) -> Option<T>) -> Vec<T> {
    messages(actions).into_iter().filter_map(choose).collect()
}

fn number(task: TaskKey) -> u64 {
    task.job.digest.0 as u64
}

pub fn calls(actions: &[AgentAction]) -> Vec<CallKey> {
    pick(actions, |action| match action {
        AgentAction::Invoke { call, .. } => Some(*call),
        _ => None,
    })
}

/// Returns the jobs that were invoked, in order.
pub fn invoked(actions: &[AgentAction]) -> Vec<(FirmKey, u64)> {
    pick(actions, |action| match action {
        AgentAction::Invoke { task, .. } => Some((task.job.firm, number(*task))),
        _ => None,
    })
}

pub fn envelopes(actions: &[AgentAction]) -> Vec<AgentEnvelope> {
    pick(actions, |action| match action {
        AgentAction::Send(envelope) => Some(envelope.clone()),
        _ => None,
    })
}

pub fn messages(actions: &[AgentAction]) -> Vec<AgentMessage> {
    envelopes(actions)
        .into_iter()
        .flat_map(|envelope| envelope.messages)
        .collect()
}

pub fn load(actions: &[AgentAction]) -> Load {
    envelopes(actions)[0].load
}

/// Returns job, attempt and reason of each refusal.
pub fn refusals(actions: &[AgentAction]) -> Vec<(u64, u32, RefusalReason)> {
    pick_messages(actions, |message| match message {
        AgentMessage::Refused {
            task,
            attempt,
            reason,
            ..
        } => Some((number(task), attempt.0, reason)),
        _ => None,
    })
}

pub fn accepted(actions: &[AgentAction]) -> Vec<u32> {
    let tasks = pick_messages(actions, |message| match message {
        AgentMessage::Accepted { tasks, .. } => Some(tasks),
        _ => None,
    });
    tasks
        .into_iter()
        .flatten()
        .map(|(_, attempt)| attempt.0)
        .collect()
}

/// Returns the jobs with finished tasks, in order.
pub fn finished(actions: &[AgentAction]) -> Vec<u64> {
    pick_messages(actions, |message| match message {
        AgentMessage::Finished { task, .. } => Some(number(task)),
        _ => None,
    })
}

/// Returns generation and records of an answer to a fence; checks that its parts are complete.
pub fn fence_answer(actions: &[AgentAction]) -> Option<(u64, Vec<JobRecord>)> {
    let mut records = Vec::new();
    let mut newest = None;
    for message in messages(actions) {
        if let AgentMessage::Fenced {
            generation,
            part,
            part_count,
            jobs,
            ..
        } = message
        {
            let (_, next, count) = newest.unwrap_or((generation.0, 0, part_count));
            assert_eq!((part, part_count), (next, count));
            newest = Some((generation.0, part + 1, part_count));
            records.extend(jobs);
        }
    }
    let (generation, parts, part_count) = newest?;
    assert_eq!(parts, part_count);
    Some((generation, records))
}

/// Returns job, attempt and state of each task in an answer to a fence, sorted.
pub fn fenced_tasks(actions: &[AgentAction]) -> Vec<(u64, u32, TaskState)> {
    let (_, records) = fence_answer(actions).expect("the fence is answered");
    let mut tasks: Vec<_> = records
        .into_iter()
        .flat_map(|job| job.tasks.into_iter().map(move |task| (job.meta.key, task)))
        .map(|(key, task)| (key.digest.0 as u64, task.attempt.0, task.state))
        .collect();
    tasks.sort_by_key(|&(job, ..)| job);
    tasks
}

pub fn result(size: usize) -> CallOutcome {
    CallOutcome::Done(Bytes::from(vec![0; size]))
}

pub fn not_started() -> CallOutcome {
    CallOutcome::NotStarted("refused".to_owned())
}
