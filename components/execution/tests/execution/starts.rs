//! Acceptance, refusal, deduplication and revocation of tasks.

use execution::{AgentAction, AgentBuilder, CallOutcome};
use model::{
    AgentMessage, Attempt, Generation, GroupKey, OwnerMessage, ProcessKey, RETENTION_MS,
    RefusalReason, Start,
};
use rstest::rstest;

use crate::harness::{
    AGENT, FIRM, Harness, OTHER, OTHER_SHARD, OWNER, SHARD, START_UNIX_MS, accepted, calls,
    envelope, fence, finished, invoked, messages, not_started, received, refusals, result, revoke,
    start_message, task,
};

fn expire(start: &mut Start) {
    start.permit.expires_us = 0;
}

fn take_foreign_permit(start: &mut Start) {
    start.permit.agent = ProcessKey(99);
}

fn raise_generation(start: &mut Start) {
    start.generation = Generation(9);
}

fn pass_deadline(start: &mut Start) {
    start.remaining_us = 0;
}

fn change_group(start: &mut Start) {
    start.job.group = GroupKey(9);
}

#[rstest]
#[case(raise_generation, RefusalReason::Unfenced)]
#[case(expire, RefusalReason::PermitExpired)]
#[case(take_foreign_permit, RefusalReason::PermitExpired)]
#[case(pass_deadline, RefusalReason::DeadlinePassed)]
#[case(change_group, RefusalReason::TargetRefused)]
fn unacceptable_start_is_refused_and_tombstoned(
    #[case] invalidate: fn(&mut Start),
    #[case] reason: RefusalReason,
) {
    let mut harness = Harness::with_slots(1);
    let mut start = harness.make_start(1, 3);
    invalidate(&mut start);
    let actions = harness.send(OWNER, OwnerMessage::Start(start));
    assert_eq!(refusals(&actions), [(1, 3, reason)]);
    for attempt in [1, 2, 3] {
        let actions = harness.start(1, attempt);
        assert_eq!(refusals(&actions), [(1, 3, RefusalReason::Tombstoned)]);
        assert!(calls(&actions).is_empty());
    }
    assert_eq!(calls(&harness.start(1, 4)).len(), 1);
}

#[test]
fn start_of_older_generation_is_refused_unless_the_task_started() {
    let mut harness = Harness::with_slots(1);
    let stale = harness.make_start(1, 1);
    harness.start(2, 1);
    let running = harness.make_start(2, 5);
    harness.send(OTHER, fence(harness.make_start(1, 1).shard, 2));
    let actions = harness.send(OWNER, OwnerMessage::Start(stale));
    assert_eq!(refusals(&actions), [(1, 1, RefusalReason::StaleGeneration)]);
    let actions = harness.send(OWNER, OwnerMessage::Start(running));
    assert!(actions.is_empty());
    assert_eq!(harness.agent.state().firms[&FIRM].stale, 2);
}

#[test]
fn start_of_the_newest_generation_from_another_owner_is_ignored() {
    let mut harness = Harness::with_slots(1);
    let start = harness.make_start(1, 1);
    assert!(harness.send(OTHER, OwnerMessage::Start(start)).is_empty());
}

#[test]
fn unfenced_agent_refuses_starts() {
    let mut harness = Harness::new(AgentBuilder::new(AGENT));
    harness.announce(1);
    assert_eq!(
        refusals(&harness.start(1, 1)),
        [(1, 1, RefusalReason::Unfenced)]
    );
}

#[test]
fn envelope_for_another_incarnation_is_only_counted() {
    let mut harness = Harness::with_slots(1);
    let start = OwnerMessage::Start(harness.make_start(1, 1));
    let mut envelope = envelope(OWNER, vec![start, fence(SHARD, 2)]);
    envelope.to = ProcessKey(99);
    assert!(harness.deliver(envelope).is_empty());
    assert_eq!(
        harness
            .agent
            .state()
            .process
            .map(|process| process.misaddressed),
        Some(2)
    );
}

#[test]
fn draining_agent_refuses_tasks_and_is_drained_after_the_last_acknowledgement() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    harness.start(2, 1);
    assert_eq!(
        refusals(&harness.drain()),
        [(2, 1, RefusalReason::Draining)]
    );
    assert_eq!(
        refusals(&harness.start(3, 1)),
        [(3, 1, RefusalReason::Draining)]
    );
    assert_eq!(finished(&harness.end_call(call, result(1))), [1]);
    assert!(!harness.agent.is_drained());
    harness.send(OWNER, received(&[1]));
    assert!(!harness.agent.is_drained());
    harness.send(OWNER, received(&[2]));
    // An owner whose start was lost sends it again and must be refused.
    harness.tick_after(1_999_999);
    assert!(!harness.agent.is_drained());
    harness.tick_after(1);
    assert!(harness.agent.is_drained());
}

#[test]
fn draining_agent_stops_waiting_for_acknowledgements() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, result(1));
    harness.drain();
    harness.tick_after(4_999_999);
    assert!(!harness.agent.is_drained());
    assert!(harness.agent.next_wake_us() <= Some(harness.now_us + 1));
    harness.tick_after(1);
    assert!(harness.agent.is_drained());
}

#[test]
fn start_without_target_is_refused() {
    let mut harness = Harness::with_slots(1);
    harness.agent.target_left(harness.now_us, &mut Vec::new());
    assert_eq!(
        refusals(&harness.start(1, 1)),
        [(1, 1, RefusalReason::TargetDown)]
    );
}

#[test]
fn full_queue_and_full_table_refuse_starts() {
    let builder = AgentBuilder::new(AGENT).max_queue_tasks(1).max_records(8);
    let mut harness = Harness::fenced(builder, 1);
    let jobs = [1, 2, 3].map(|job| refusals(&harness.start(job, 1)));
    assert_eq!(
        jobs,
        [vec![], vec![], vec![(3, 1, RefusalReason::QueueFull)]]
    );

    let mut harness = Harness::fenced(AgentBuilder::new(AGENT).max_records(8), 100);
    let refused: Vec<_> = (0..11)
        .map(|job| refusals(&harness.start(job, 1)).len())
        .collect();
    // The ninth refusal is stored in the reserve; later starts are dropped, since no refusal can
    // be recorded.
    assert_eq!(refused, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0]);
    assert_eq!(calls(&harness.start(10, 1)).len(), 0);
}

#[rstest]
#[case::lower(3, 2)]
#[case::same(3, 3)]
#[case::higher(3, 4)]
fn repeated_start_is_answered_from_the_table(#[case] first: u32, #[case] again: u32) {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, first))[0];
    let actions = harness.start(1, again);
    assert_eq!((accepted(&actions), calls(&actions)), (vec![first], vec![]));
    harness.end_call(call, result(1));
    let actions = harness.start(1, again);
    assert_eq!((finished(&actions), calls(&actions)), (vec![1], vec![]));
    assert_eq!(harness.agent.state().firms[&FIRM].duplicates, 2);
}

#[test]
fn queued_task_adopts_the_highest_attempt_and_runs_once() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    for (attempt, expected) in [(2, 2), (1, 2), (5, 5)] {
        assert_eq!(accepted(&harness.start(2, attempt)), [expected]);
    }
    assert_eq!(invoked(&harness.end_call(call, result(1))).len(), 1);
}

#[test]
fn late_outcome_of_an_earlier_call_is_counted() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    harness.end_call(call, not_started());
    harness.start(1, 2);
    assert!(harness.end_call(call, result(1)).is_empty());
    assert_eq!(
        harness
            .agent
            .state()
            .process
            .map(|process| process.late_outcomes),
        Some(1)
    );
}

#[test]
fn call_that_did_not_start_tombstones_its_attempt_only() {
    let mut harness = Harness::with_slots(1);
    let actions = harness.run(1, not_started());
    assert_eq!(refusals(&actions), [(1, 1, RefusalReason::TargetRefused)]);
    assert_eq!(
        refusals(&harness.start(1, 1)),
        [(1, 1, RefusalReason::Tombstoned)]
    );
    assert_eq!(calls(&harness.start(1, 2)).len(), 1);
}

#[test]
fn revoked_task_does_not_start() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    harness.start(2, 2);
    let earlier = harness.send(OWNER, revoke(2, 1, false));
    assert_eq!(refusals(&earlier), [(2, 1, RefusalReason::Revoked)]);
    for job in [2, 3] {
        let actions = harness.send(OWNER, revoke(job, 4, false));
        assert_eq!(refusals(&actions), [(job, 4, RefusalReason::Revoked)]);
        assert_eq!(
            refusals(&harness.start(job, 4)),
            [(job, 4, RefusalReason::Tombstoned)]
        );
    }
    assert!(calls(&harness.end_call(call, result(1))).is_empty());
}

#[rstest]
#[case::aborted(true, CallOutcome::Unknown(String::new()), vec![])]
#[case::not_started(true, not_started(), vec![(1, 1, RefusalReason::Revoked)])]
#[case::left_running(false, result(1), vec![])]
fn revoked_running_task_ends_with_its_call(
    #[case] abort: bool,
    #[case] outcome: CallOutcome,
    #[case] refused: Vec<(u64, u32, RefusalReason)>,
) {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    let actions = harness.send(OWNER, revoke(1, 1, abort));
    let failed = messages(&actions);
    assert!(matches!(
        failed[..],
        [AgentMessage::RevokeFailed {
            attempt: Attempt(1),
            ..
        }]
    ));
    assert_eq!(actions.contains(&AgentAction::Abort { call }), abort);
    let again = harness.send(OWNER, revoke(1, 1, abort));
    assert!(!again.contains(&AgentAction::Abort { call }));
    let actions = harness.end_call(call, outcome);
    assert_eq!(finished(&actions).len(), 1 - refused.len());
    assert_eq!(refusals(&actions), refused);
}

#[test]
fn revocation_of_a_finished_task_repeats_the_outcome() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, result(1));
    assert_eq!(finished(&harness.send(OWNER, revoke(1, 1, true))), [1]);
    assert!(harness.send(OTHER, revoke(1, 1, true)).is_empty());
}

#[test]
fn start_beyond_retention_is_refused_even_after_the_clock_is_set_back() {
    let mut harness = Harness::with_slots(1);
    harness.run(1, result(1));
    harness.send(OWNER, received(&[1]));
    harness.now_unix_ms += RETENTION_MS + 500;
    harness.tick_after(1);
    assert_eq!(harness.agent.state().records, 0);
    for now_unix_ms in [harness.now_unix_ms, START_UNIX_MS] {
        harness.now_unix_ms = now_unix_ms;
        let actions = harness.start(1, 1);
        assert_eq!(refusals(&actions), [(1, 1, RefusalReason::DeadlinePassed)]);
        assert!(calls(&actions).is_empty());
    }
}

#[test]
fn job_of_another_shard_is_ignored() {
    let mut harness = Harness::with_slots(2);
    let mut start = start_message(OTHER_SHARD, 1, &[(0, 1)], harness.now_us);
    start.job.key = task(1).job;
    assert!(harness.send(OWNER, OwnerMessage::Start(start)).is_empty());
}
