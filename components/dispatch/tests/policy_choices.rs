//! Tests each rule of the scheduling and admission policy in isolation.

mod policy_support;

use dispatch::{Policy, PolicyBuilder};
use model::{Answer, FailureReason};
use policy_support::{Harness, SLOTS};

const FAR_DEADLINE_MS: u64 = 60_000;

fn slots() -> usize {
    usize::from(SLOTS)
}

/// Lets the dispatcher observe the agents' speeds, with a backlog that reaches slow agents too.
fn observe_speeds(harness: &mut Harness, run_ms: &[u64]) {
    for _ in 0..10 {
        harness.submit("a", 40, 100, FAR_DEADLINE_MS);
        while !harness.held.is_empty() {
            for (agent, &ran_ms) in run_ms.iter().enumerate() {
                if harness.held_by_agent(agent) > 0 {
                    harness.done(agent, ran_ms);
                }
            }
        }
    }
}

#[test]
fn tasks_wait_at_the_owner_while_all_slots_are_taken() {
    let mut harness = Harness::new(2, &["a"], Policy::default());
    harness.submit("a", 20, 500, FAR_DEADLINE_MS);
    assert_eq!(harness.held.len(), 2 * slots());
    harness.done(0, 500);
    assert_eq!(harness.held.len(), 2 * slots());
}

#[test]
fn very_short_tasks_are_sent_ahead_of_a_free_slot() {
    let mut harness = Harness::new(1, &["a"], Policy::default());
    harness.submit("a", 20, 1, FAR_DEADLINE_MS);
    assert!(harness.held.len() > slots());
}

#[test]
fn a_task_waits_for_a_fast_agent_instead_of_starting_at_a_very_slow_one() {
    let placed_slow = |waits_for_fast_agent| {
        let policy = PolicyBuilder::new()
            .waits_for_fast_agent(waits_for_fast_agent)
            .build();
        let mut harness = Harness::new(3, &["a"], policy);
        observe_speeds(&mut harness, &[50, 50, 1_000]);
        harness.submit("a", 5, 100, FAR_DEADLINE_MS);
        assert_eq!(
            harness.held_by_agent(0) + harness.held_by_agent(1),
            2 * slots()
        );
        harness.held_by_agent(2)
    };
    assert_eq!(placed_slow(true), 0);
    assert_eq!(placed_slow(false), 1);
}

#[test]
fn firms_with_a_backlog_converge_to_equal_shares() {
    let mut harness = Harness::new(2, &["a", "b"], Policy::default());
    harness.submit("a", 100, 100, FAR_DEADLINE_MS);
    harness.submit("b", 100, 100, FAR_DEADLINE_MS);
    assert_eq!(harness.held_by_firm("b"), 0);
    for agent in [0, 1, 0, 1, 0, 1, 0, 1] {
        harness.done(agent, 100);
    }
    assert_eq!(
        (harness.held_by_firm("a"), harness.held_by_firm("b")),
        (2, 2)
    );
}

#[test]
fn a_short_job_is_admitted_behind_a_long_one_that_it_overtakes() {
    let mut harness = Harness::new(1, &["a"], Policy::default());
    harness.submit("a", 190, 1_000, 3_600_000);
    let short = harness.submit("a", 1, 100, 1_000);
    assert_eq!(harness.answer(short), None);
}

#[test]
fn a_job_that_cannot_meet_its_deadline_is_refused_with_a_retry_delay() {
    let mut harness = Harness::new(1, &["a"], Policy::default());
    let job = harness.submit("a", 100, 1_000, 5_000);
    let Some(Answer::Failed(failure)) = harness.answer(job) else {
        panic!("the job is refused");
    };
    assert_eq!(failure.reason, FailureReason::Overloaded);
    assert!(failure.retry_after_ms.is_some());
    assert!(harness.held.is_empty());
}

/// Fails one task of each of several jobs at the first agent.
fn fail_jobs(harness: &mut Harness, jobs: usize) {
    let mut failed = 0;
    while failed < jobs {
        harness.submit("a", 1, 100, FAR_DEADLINE_MS);
        if harness.held_by_agent(0) > 0 {
            harness.fail(0);
            failed += 1;
        } else {
            harness.done(1, 100);
        }
    }
    harness.advance_ms(100);
}

#[test]
fn an_agent_that_failed_is_sent_one_task_at_a_time() {
    let mut harness = Harness::new(2, &["a"], Policy::default());
    fail_jobs(&mut harness, 1);
    harness.submit("a", 10, 100, FAR_DEADLINE_MS);
    assert_eq!(
        (harness.held_by_agent(0), harness.held_by_agent(1)),
        (1, slots())
    );
    harness.done(0, 100);
    assert_eq!(harness.held_by_agent(0), slots());
}

#[test]
fn failures_of_three_jobs_eject_an_agent_until_probation() {
    let mut harness = Harness::new(2, &["a"], Policy::default());
    fail_jobs(&mut harness, 3);
    assert_eq!(harness.dispatcher.counters().ejections, 1);
    harness.submit("a", 10, 100, FAR_DEADLINE_MS);
    assert_eq!(
        (harness.held_by_agent(0), harness.held_by_agent(1)),
        (0, slots())
    );
    harness.advance_ms(5_200);
    assert_eq!(harness.held_by_agent(0), 1);
    harness.fail(0);
    harness.advance_ms(100);
    assert_eq!(harness.dispatcher.counters().ejections, 2);
}

#[test]
fn a_success_on_probation_ends_the_ejection() {
    let mut harness = Harness::new(2, &["a"], Policy::default());
    fail_jobs(&mut harness, 3);
    assert_eq!(harness.dispatcher.counters().ejections, 1);
    harness.advance_ms(5_200);
    harness.submit("a", 10, 100, FAR_DEADLINE_MS);
    assert_eq!(harness.held_by_agent(0), 1);
    harness.done(0, 100);
    assert_eq!(harness.held_by_agent(0), slots());
}
