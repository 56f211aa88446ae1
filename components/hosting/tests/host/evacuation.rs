//! Evacuation of the host's failure domain.

use hosting::{StartOutcome, StartRefusal, TargetCall, TargetEnd};
use model::{NotStartedReason, RunDurations, RunEnd, RunEvent, StartOrder};

use crate::harness::{Bench, ENTRY, order, task};

const EVACUATED: RunEvent = RunEvent::NotStarted(NotStartedReason::Evacuated);

fn set_evacuated(bench: &mut Bench, is_evacuated: bool) {
    bench
        .host
        .set_evacuated(bench.now_ms, is_evacuated, &mut bench.actions);
}

/// Returns a host with four runs that fill it, and task 5 waiting.
fn with_waiting_task() -> Bench {
    let mut bench = Bench::new();
    bench.start(1..=4);
    assert_eq!(bench.execute_starts().len(), 4);
    let patient = StartOrder {
        queue_timeout_ms: 2_000,
        ..order(5)
    };
    let orders = bench.orders(ENTRY, vec![patient]);
    bench.send(orders);
    assert_eq!(bench.outcome(5), None);
    bench
}

/// Returns a host with one start on its way to the target.
fn starting() -> Bench {
    let mut bench = Bench::new();
    bench.start([1]);
    bench
}

fn fail_start(bench: &mut Bench, outcome: StartOutcome) {
    bench.actions.clear();
    bench
        .host
        .handle_start_outcome(bench.now_ms, task(1), 1, outcome, &mut bench.actions);
}

fn starts(bench: &Bench) -> usize {
    let is_start = |action: &&TargetCall| matches!(action, TargetCall::Start { .. });
    bench.actions.iter().filter(is_start).count()
}

// Waiting tasks and later orders would start in the evacuated failure domain, or wait there in vain.
#[test]
fn an_evacuated_host_returns_waiting_tasks_and_rejects_orders() {
    let mut bench = with_waiting_task();
    set_evacuated(&mut bench, true);
    assert_eq!(bench.outcome(5), Some(EVACUATED));
    bench.start([6]);
    assert_eq!(bench.outcome(6), Some(EVACUATED));
    assert_eq!(bench.execute_starts(), []);
    assert_eq!(bench.host.evacuated_task_count(), 2);
}

// An evacuation must not cut runs that have started.
#[test]
fn runs_that_have_started_may_end() {
    let mut bench = starting();
    assert_eq!(bench.execute_starts().len(), 1);
    set_evacuated(&mut bench, true);
    bench.advance(100);
    assert_eq!(bench.stops(), []);
    bench.end_run(task(1), TargetEnd::Done);
    bench.poll_target();
    let durations = RunDurations {
        waited_ms: 0,
        ran_ms: 100,
        was_host_busy: false,
    };
    let done = RunEvent::Ended(RunEnd::Done, durations);
    assert_eq!(bench.outcome(1), Some(done));
}

// A start that the target left unanswered was sent again, and started the task after the bound.
#[test]
fn an_unanswered_start_is_stopped_and_not_repeated() {
    let mut bench = starting();
    set_evacuated(&mut bench, true);
    fail_start(&mut bench, StartOutcome::Unanswered);
    assert_eq!(starts(&bench), 0);
    assert_eq!(bench.stops(), [task(1)]);
}

// Starts that the target refused for a reason that a repetition cures were sent again.
#[test]
fn a_refused_start_is_not_repeated() {
    let curable = [
        StartRefusal::StaleToken,
        StartRefusal::OldNumber,
        StartRefusal::LeaseOver,
    ];
    for reason in curable {
        let mut bench = starting();
        set_evacuated(&mut bench, true);
        fail_start(&mut bench, StartOutcome::Refused(reason));
        assert_eq!(bench.actions, [], "{reason:?}");
        assert_eq!(bench.outcome(1), Some(EVACUATED), "{reason:?}");
    }
}

// A start that was refused after an unanswered copy may still be carried out by that copy.
#[test]
fn a_refused_start_with_an_unanswered_copy_is_stopped() {
    let mut bench = starting();
    fail_start(&mut bench, StartOutcome::Unanswered);
    bench.execute_checks();
    assert_eq!(starts(&bench), 1);
    bench.actions.clear();
    set_evacuated(&mut bench, true);
    fail_start(&mut bench, StartOutcome::Refused(StartRefusal::LeaseOver));
    assert_eq!(starts(&bench), 0);
    assert_eq!(bench.stops(), [task(1)]);
    assert_ne!(bench.outcome(1), Some(EVACUATED));
}

// Entries learned of a closed or reopened host only with the next view, up to 150 ms later.
#[test]
fn entries_learn_at_once_that_the_host_closes_and_opens() {
    let mut bench = Bench::new();
    for is_evacuated in [true, false] {
        assert!(!bench.host.has_update(bench.now_ms, ENTRY, 0));
        set_evacuated(&mut bench, is_evacuated);
        assert!(bench.host.has_update(bench.now_ms, ENTRY, 0));
        assert_eq!(bench.request_update(ENTRY).view.is_open, !is_evacuated);
    }
    bench.start([1]);
    assert_eq!(bench.execute_starts(), [(task(1), 1)]);
}

// An agent that is suspended from before the bound until after it has not heard of the evacuation
// when it resumes: neither a waiting task nor an order from before may start then.
#[test]
fn an_agent_that_was_suspended_starts_nothing_from_before() {
    let mut bench = with_waiting_task();
    let late = bench.orders(ENTRY, vec![order(6)]);
    bench.now_ms += 6_000;
    bench.running.clear();
    bench.send(late);
    bench.poll_target();
    bench.host.tick(bench.now_ms, &mut bench.actions);
    assert_eq!(starts(&bench), 0);
    let expired = RunEvent::NotStarted(NotStartedReason::PermitExpired);
    assert_eq!(bench.outcome(5), Some(expired));
    assert_eq!(bench.outcome(6), Some(expired));
}
