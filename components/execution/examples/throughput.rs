//! Measures the agent's processing time per task: start, outcome and acknowledgement.

use std::time::Instant;

use bytes::Bytes;
use execution::{Agent, AgentAction, AgentBuilder, CallOutcome};
use model::{
    Attempt, Fence, FirmKey, Generation, GroupKey, JobKey, JobMeta, KindKey, OwnerEnvelope,
    OwnerMessage, Permit, ProcessKey, ShardKey, Start, TargetInfo, TaskKey, TaskStart,
};

const AGENT: ProcessKey = ProcessKey(1);
const OWNER: ProcessKey = ProcessKey(2);
const JOBS: u64 = 100_000;
const TASKS_PER_JOB: u16 = 8;
const TASK_US: u64 = 1_000;
const RESULT_BYTES: usize = 100;

fn main() {
    let firm = FirmKey::from_name("vembanad");
    let group = GroupKey::from_name("planner");
    let shard = ShardKey { firm, index: 0 };
    let mut agent = AgentBuilder::new(AGENT).max_records(1 << 22).build();
    let mut actions = Vec::new();
    let target = TargetInfo {
        group,
        firms: vec![firm],
        slots: TASKS_PER_JOB,
        connections: 64,
    };
    agent.target_announced(0, target, u64::MAX, &mut actions);
    let fence = Fence {
        shard,
        generation: Generation(1),
    };
    agent.handle(
        0,
        1,
        envelope(vec![OwnerMessage::Fence(fence)]),
        &mut actions,
    );
    let starts: Vec<_> = (0..JOBS).map(|job| start(job, shard, group)).collect();

    let began = Instant::now();
    for (start, now_us) in starts.into_iter().zip((0..).step_by(TASK_US as usize)) {
        run_job(&mut agent, start, now_us, &mut actions);
    }
    let elapsed_ns = began.elapsed().as_nanos() as u64;
    let tasks = JOBS * u64::from(TASKS_PER_JOB);
    println!(
        "{} ns per task: start, outcome and acknowledgement",
        elapsed_ns / tasks
    );
}

fn run_job(agent: &mut Agent, start: Start, now_us: u64, actions: &mut Vec<AgentAction>) {
    let shard = start.shard;
    let job = start.job.key;
    let unix_ms = start.job.submitted_unix_ms;
    actions.clear();
    agent.handle(
        now_us,
        unix_ms,
        envelope(vec![OwnerMessage::Start(start)]),
        actions,
    );
    let calls: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            AgentAction::Invoke { call, .. } => Some(*call),
            _ => None,
        })
        .collect();
    assert_eq!(calls.len(), usize::from(TASKS_PER_JOB));
    let result = Bytes::from_static(&[0; RESULT_BYTES]);
    for call in calls {
        agent.call_ended(
            now_us + TASK_US,
            call,
            CallOutcome::Done(result.clone()),
            actions,
        );
    }
    let tasks = (0..TASKS_PER_JOB)
        .map(|index| TaskKey { job, index })
        .collect();
    let received = OwnerMessage::Received { shard, tasks };
    agent.handle(now_us + TASK_US, unix_ms, envelope(vec![received]), actions);
}

fn envelope(messages: Vec<OwnerMessage>) -> OwnerEnvelope {
    OwnerEnvelope {
        from: OWNER,
        from_address: String::new(),
        to: AGENT,
        messages,
    }
}

fn start(number: u64, shard: ShardKey, group: GroupKey) -> Start {
    let id = format!("job-{number}");
    let task = |index| TaskStart {
        index,
        attempt: Attempt(1),
        kind: KindKey::from_name("plan"),
        expected_us: TASK_US,
        payload: Bytes::from_static(b"{}"),
    };
    Start {
        shard,
        generation: Generation(1),
        permit: Permit {
            agent: AGENT,
            expires_us: u64::MAX,
        },
        job: JobMeta {
            key: JobKey::new(shard.firm, &id),
            id,
            group,
            body_digest: 0,
            submitted_unix_ms: number + 1,
            deadline_unix_ms: u64::MAX,
            repeatable: false,
            task_count: TASKS_PER_JOB,
        },
        remaining_us: 10_000_000,
        tasks: (0..TASKS_PER_JOB).map(task).collect(),
    }
}
