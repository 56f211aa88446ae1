//! Memory limits, record retention and the state snapshot.

use execution::AgentBuilder;
use model::{OwnerMessage, RETENTION_MS, RefusalReason, TaskOutcome, TaskState};

use crate::harness::{
    AGENT, FIRM, Harness, OTHER, OTHER_FIRM, OTHER_SHARD, OWNER, SHARD, calls, fence, fenced_tasks,
    load, received, refusals, result, start_message, task,
};

fn settled(job: u64) -> OwnerMessage {
    OwnerMessage::Settled {
        shard: SHARD,
        jobs: vec![task(job).job],
    }
}

#[test]
fn settled_results_are_dropped_first_and_undelivered_ones_kept() {
    let builder = AgentBuilder::new(AGENT).max_result_bytes(250);
    let mut harness = Harness::fenced(builder, 1);
    harness.run(1, result(100));
    harness.run(2, result(100));
    harness.send(OWNER, received(&[1]));
    harness.send(OWNER, settled(2));
    harness.run(3, result(100));
    assert_eq!(harness.agent.state().result_bytes, 200);
    harness.run(4, result(100));
    assert_eq!(harness.agent.state().result_bytes, 200);
    harness.run(5, result(100));
    let actions = harness.start(6, 1);
    assert_eq!(refusals(&actions), [(6, 1, RefusalReason::QueueFull)]);
    assert_eq!(load(&actions).window, 0);
    let states = fenced_tasks(&harness.send(OTHER, fence(SHARD, 2)));
    let is_kept = |state: &TaskState| matches!(state, TaskState::Finished(TaskOutcome::Done(_)));
    let kept: Vec<_> = states
        .iter()
        .filter(|task| is_kept(&task.2))
        .map(|task| task.0)
        .collect();
    assert_eq!(kept, [3, 4, 5]);
    assert_eq!(states[0].2, TaskState::ResultDropped);
}

#[test]
fn task_with_a_dropped_result_does_not_start_again() {
    let mut harness = Harness::fenced(AgentBuilder::new(AGENT).max_result_bytes(10), 1);
    harness.run(1, result(100));
    harness.send(OWNER, received(&[1]));
    let actions = harness.start(1, 2);
    assert!(calls(&actions).is_empty());
    assert_eq!(crate::harness::finished(&actions), [1]);
}

#[test]
fn records_are_removed_after_retention_unless_running_or_unacknowledged() {
    let mut harness = Harness::with_slots(3);
    harness.run(1, result(1));
    harness.run(2, result(1));
    harness.send(OWNER, received(&[2]));
    harness.start(3, 1);
    harness.now_unix_ms += RETENTION_MS + 500;
    harness.tick_after(0);
    assert_eq!(harness.agent.state().records, 2);
    harness.now_unix_ms += RETENTION_MS;
    harness.tick_after(0);
    assert_eq!(harness.agent.state().records, 2);
    harness.send(OTHER, fence(SHARD, 2));
    harness.now_unix_ms += RETENTION_MS;
    harness.tick_after(0);
    assert_eq!(harness.agent.state().records, 1);
    assert_eq!(harness.agent.state().unacknowledged, 0);
}

#[test]
fn state_of_one_firm_shows_nothing_of_another() {
    let mut harness = Harness::with_slots(2);
    harness.start(1, 1);
    let start = start_message(OTHER_SHARD, 1, &[(0, 1), (1, 1)], harness.now_us);
    harness.send(OWNER, OwnerMessage::Start(start));
    let all = harness.agent.state();
    assert_eq!((all.running, all.queued, all.shards.len()), (2, 1, 2));
    let state = harness.agent.state_of(FIRM);
    assert_eq!((state.running, state.queued, state.records), (1, 0, 1));
    assert!(state.process.is_none() && state.owners.is_empty());
    assert!(state.shards.iter().all(|shard| shard.shard.firm == FIRM));
    assert!(!state.firms.contains_key(&OTHER_FIRM));
    assert!(serde_json::to_string(&all).is_ok());
}
