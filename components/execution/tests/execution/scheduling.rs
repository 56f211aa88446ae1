//! Start order, windows, deadlines and target availability.

use std::collections::VecDeque;

use execution::AgentBuilder;
use model::{FirmShare, OwnerMessage, RefusalReason, Rules};
use rstest::rstest;

use crate::harness::{
    AGENT, FIRM, Harness, OTHER, OTHER_FIRM, OTHER_SHARD, OWNER, SHARD, calls, fence, invoked,
    load, not_started, refusals, result, start_message, target,
};

fn configure_weight(harness: &mut Harness, revision: u64, weight: u32) {
    let shares = vec![
        FirmShare { firm: FIRM, weight },
        FirmShare {
            firm: OTHER_FIRM,
            weight: 1,
        },
    ];
    let rules = Rules { revision, shares };
    harness.send(OWNER, OwnerMessage::Configure(rules));
}

#[rstest]
#[case::equal(1, 6)]
#[case::weighted(3, 9)]
fn firms_share_the_target_by_weight(#[case] weight: u32, #[case] expected: usize) {
    let mut harness = Harness::with_slots(1);
    configure_weight(&mut harness, 2, weight);
    configure_weight(&mut harness, 1, 100);
    let mut actions = harness.start(0, 1);
    for job in 1..=12 {
        for shard in [SHARD, OTHER_SHARD] {
            let start = start_message(shard, job, &[(0, 1)], harness.now_us);
            harness.send(OWNER, OwnerMessage::Start(start));
        }
    }
    let mut firms = Vec::new();
    for _ in 0..12 {
        harness.now_us += 100_000;
        actions = harness.end_call(calls(&actions)[0], result(1));
        firms.push(invoked(&actions)[0].0);
    }
    let count = firms.iter().filter(|&&firm| firm == FIRM).count();
    assert!(count.abs_diff(expected) <= 1, "{count} of 12");
}

#[test]
fn tasks_start_by_earliest_deadline_then_arrival() {
    let mut harness = Harness::with_slots(1);
    let mut actions = harness.start(0, 1);
    for (job, remaining_us) in [
        (1, 9_000_000),
        (2, 5_000_000),
        (3, 5_000_000),
        (4, 1_000_000),
    ] {
        let mut start = harness.make_start(job, 1);
        start.remaining_us = remaining_us;
        harness.send(OWNER, OwnerMessage::Start(start));
    }
    let mut order = Vec::new();
    while let [call] = calls(&actions)[..] {
        actions = harness.end_call(call, result(1));
        order.extend(invoked(&actions).iter().map(|&(_, job)| job));
    }
    assert_eq!(order, [4, 2, 3, 1]);
}

#[test]
fn queued_task_is_refused_at_its_deadline() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    let mut start = harness.make_start(2, 1);
    start.remaining_us = 10_000;
    harness.send(OWNER, OwnerMessage::Start(start));
    assert_eq!(harness.agent.next_wake_us(), Some(harness.now_us + 10_000));
    harness.now_us += 10_000;
    let actions = harness.end_call(call, result(1));
    assert_eq!(refusals(&actions), [(2, 1, RefusalReason::DeadlinePassed)]);
    assert!(calls(&actions).is_empty());
}

#[rstest]
#[case::slots(2, 64, 2)]
#[case::connections(8, 3, 3)]
fn running_tasks_are_bounded(#[case] slots: u16, #[case] connections: u16, #[case] limit: usize) {
    let mut harness = Harness::with_slots(1);
    let info = target(slots, connections);
    harness
        .agent
        .target_announced(0, info, u64::MAX, &mut Vec::new());
    let running: usize = (0..9).map(|job| calls(&harness.start(job, 1)).len()).sum();
    assert_eq!(running, limit);
}

#[test]
fn lost_target_refuses_queued_tasks_and_lets_calls_end() {
    let mut harness = Harness::with_slots(1);
    let call = calls(&harness.start(1, 1))[0];
    harness.start(2, 1);
    let info = target(1, 1);
    let expires_us = harness.now_us + 5_000;
    harness
        .agent
        .target_announced(harness.now_us, info, expires_us, &mut Vec::new());
    assert_eq!(harness.agent.next_wake_us(), Some(expires_us));
    let actions = harness.tick_after(5_000);
    assert_eq!(refusals(&actions), [(2, 1, RefusalReason::TargetDown)]);
    assert!(!load(&actions).ready);
    assert_eq!(
        crate::harness::finished(&harness.end_call(call, result(1))),
        [1]
    );
}

#[test]
fn failing_target_is_backed_off_then_probed_with_one_call() {
    let mut harness = Harness::with_slots(4);
    let mut running: VecDeque<_> = (1..=9)
        .flat_map(|job| calls(&harness.start(job, 1)))
        .collect();
    let mut actions = Vec::new();
    while let Some(call) = running.pop_front() {
        actions = harness.end_call(call, not_started());
        running.extend(calls(&actions));
    }
    assert!(!load(&actions).ready);
    assert_eq!(harness.agent.state().queued, 3);
    let wake_us = harness.agent.next_wake_us().expect("the back-off ends");
    let actions = harness.tick_after(wake_us - harness.now_us);
    let probe = calls(&actions);
    assert_eq!(probe.len(), 1);
    let actions = harness.end_call(probe[0], result(1));
    assert_eq!(calls(&actions).len(), 2);
    assert!(load(&actions).ready);
}

#[test]
fn window_follows_the_backlog() {
    let builder = AgentBuilder::new(AGENT).lookahead_tasks(4);
    let mut harness = Harness::fenced(builder, 8);
    harness.send(OTHER, fence(OTHER_SHARD, 2));
    configure_weight(&mut harness, 1, 2);
    let window = |harness: &mut Harness, from, shard, generation, backlog| {
        load(&harness.beat(from, &[(shard, generation, backlog)])).window
    };
    assert_eq!(window(&mut harness, OWNER, SHARD, 1, 0), 12);
    assert_eq!(window(&mut harness, OTHER, OTHER_SHARD, 2, 0), 6);
    assert_eq!(window(&mut harness, OWNER, SHARD, 1, 50), 12);
    assert_eq!(window(&mut harness, OTHER, OTHER_SHARD, 2, 0), 1);
    assert_eq!(window(&mut harness, OTHER, OTHER_SHARD, 2, 50), 4);
    assert_eq!(window(&mut harness, OWNER, SHARD, 1, 50), 8);
    harness.now_us += 1_000_000;
    assert_eq!(window(&mut harness, OTHER, OTHER_SHARD, 2, 50), 12);
    harness.drain();
    let load = load(&harness.beat(OWNER, &[(SHARD, 1, 50)]));
    assert_eq!(
        (load.window, load.ready, load.config_revision),
        (0, false, 1)
    );
}
