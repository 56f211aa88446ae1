//! Fences, heartbeats and the delivery of outcomes.

use execution::AgentAction;
use model::{AgentMessage, HeartbeatAck, OwnerMessage, RefusalReason, TaskState};
use rstest::rstest;

use crate::harness::{
    Harness, OTHER, OTHER_SHARD, OWNER, SHARD, calls, envelope, fence, fence_answer, fenced_tasks,
    finished, invoked, messages, not_started, received, refusals, result, start_message,
};

/// Builds an agent with job 1 finished, 2 refused, 3 running and 4 queued.
fn harness_with_each_task_state() -> Harness {
    let mut harness = Harness::with_slots(1);
    harness.run(1, result(3));
    harness.run(2, not_started());
    harness.start(3, 1);
    harness.start(4, 2);
    harness
}

#[test]
fn newer_fence_drops_queued_tasks_and_reports_all_tasks() {
    let mut harness = harness_with_each_task_state();
    let actions = harness.send(OTHER, fence(SHARD, 2));
    let tasks = fenced_tasks(&actions);
    assert!(matches!(tasks[0], (1, 1, TaskState::Finished(_))));
    assert_eq!(tasks[1], (2, 1, TaskState::NotStarted));
    assert_eq!(tasks[2], (3, 1, TaskState::Running));
    assert_eq!(tasks[3], (4, 2, TaskState::NotStarted));
    assert_eq!(harness.agent.state().queued, 0);
    assert!(harness.tick_after(10_000_000).is_empty());
}

#[test]
fn repeated_fence_keeps_queued_tasks() {
    let mut harness = harness_with_each_task_state();
    let actions = harness.send(OWNER, fence(SHARD, 1));
    assert_eq!(fence_answer(&actions), Some((1, vec![])));
    assert_eq!(harness.agent.state().queued, 1);
}

#[test]
fn repeated_fence_answers_have_the_same_parts() {
    let mut harness = Harness::with_slots(8);
    for job in 0..20 {
        let call = calls(&harness.start(job, 1))[0];
        harness.end_call(call, result(100_000));
    }
    let call = calls(&harness.start(20, 1))[0];
    let first = harness.send(OTHER, fence(SHARD, 2));
    assert!(messages(&first).len() > 5);
    harness.end_call(call, result(100_000));
    let mut start = harness.make_start(21, 1);
    start.generation.0 = 2;
    harness.send(OTHER, OwnerMessage::Start(start));
    let second = harness.send(OTHER, fence(SHARD, 2));
    let jobs = |actions: &[AgentAction]| -> Vec<Vec<_>> {
        let parts = messages(actions).into_iter().map(|message| match message {
            AgentMessage::Fenced { jobs, .. } => jobs.iter().map(|job| job.meta.key).collect(),
            _ => Vec::new(),
        });
        parts.collect()
    };
    assert_eq!(jobs(&first), jobs(&second));
    assert!(matches!(
        fenced_tasks(&second)[20],
        (20, 1, TaskState::Finished(_))
    ));
}

#[rstest]
#[case::same_generation_of_another_owner(2, None)]
#[case::older_generation(1, Some((2, vec![])))]
fn fence_without_authority_does_not_change_the_owner(
    #[case] generation: u64,
    #[case] answer: Option<(u64, Vec<model::JobRecord>)>,
) {
    let mut harness = Harness::with_slots(1);
    harness.send(OWNER, fence(SHARD, 2));
    let actions = harness.send(OTHER, fence(SHARD, generation));
    assert_eq!(fence_answer(&actions), answer);
    assert_eq!(harness.agent.state().shards[0].owner, Some(OWNER));
}

#[test]
fn heartbeat_acknowledges_only_shards_of_the_sender() {
    let mut harness = Harness::with_slots(1);
    harness.send(OTHER, fence(OTHER_SHARD, 2));
    for (from, shards) in [(OWNER, vec![SHARD]), (OTHER, vec![OTHER_SHARD])] {
        let beats = [(SHARD, 1, 0), (OTHER_SHARD, 2, 0)];
        let actions = harness.beat(from, &beats);
        let [
            AgentMessage::HeartbeatAck(HeartbeatAck {
                sent_us,
                shards: listed,
                permit,
            }),
        ] = &messages(&actions)[..]
        else {
            panic!("one acknowledgement is sent");
        };
        assert_eq!(
            (*sent_us, permit.expires_us),
            (7, harness.now_us + 1_000_000)
        );
        assert_eq!(
            listed.iter().map(|&(shard, _)| shard).collect::<Vec<_>>(),
            shards
        );
    }
}

#[test]
fn outcome_is_resent_until_received() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, result(1));
    let due_us = [500_000, 1_500_000, 3_500_000, 7_500_000, 11_500_000];
    let began_us = harness.now_us;
    for due_us in due_us {
        assert_eq!(harness.agent.next_wake_us(), Some(began_us + due_us));
        let early_us = began_us + due_us - 1 - harness.now_us;
        assert!(harness.tick_after(early_us).is_empty());
        assert_eq!(finished(&harness.tick_after(1)), [1]);
    }
    harness.send(OTHER, received(&[1]));
    assert_eq!(harness.agent.state().unacknowledged, 1);
    harness.send(OWNER, received(&[1]));
    assert!(harness.tick_after(60_000_000).is_empty());
}

#[test]
fn refusal_of_an_accepted_task_is_resent_until_a_later_attempt() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, not_started());
    let actions = harness.tick_after(500_000);
    assert_eq!(refusals(&actions), [(1, 1, RefusalReason::TargetRefused)]);
    harness.start(1, 2);
    assert!(harness.tick_after(1_000_000).is_empty());
}

#[test]
fn refusal_is_resent_with_the_newest_tombstoned_attempt() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, not_started());
    let mut start = harness.make_start(1, 3);
    start.permit.expires_us = 0;
    harness.send(OWNER, OwnerMessage::Start(start));
    let actions = harness.tick_after(500_000);
    assert_eq!(refusals(&actions), [(1, 3, RefusalReason::TargetRefused)]);
}

#[test]
fn outcome_after_a_fence_goes_to_the_new_owner() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    harness.send(OTHER, fence(SHARD, 2));
    let actions = harness.end_call(call, result(1));
    assert!(matches!(&actions[..], [AgentAction::Send(envelope)] if envelope.to == OTHER));
}

#[test]
fn messages_of_one_call_share_an_envelope() {
    let mut harness = Harness::with_slots(2);
    let starts = [SHARD, OTHER_SHARD]
        .map(|shard| start_message(shard, 1, &[(0, 1), (1, 1)], harness.now_us))
        .map(OwnerMessage::Start);
    let actions = harness.deliver(envelope(OWNER, starts.to_vec()));
    assert_eq!(invoked(&actions).len(), 2);
    assert_eq!(messages(&actions).len(), 2);
    assert_eq!(actions.len(), 3);
}
