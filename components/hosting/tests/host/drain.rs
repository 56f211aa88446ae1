//! Graceful shutdown of the agent.

use hosting::TargetEnd;
use model::{NotStartedReason, RunEvent, StartOrder};

use crate::harness::{Bench, ENTRY, order, task};

const DRAINING: RunEvent = RunEvent::NotStarted(NotStartedReason::Draining);

/// Expected run time of the run that a stop waits for, in milliseconds.
const LONG_MS: u32 = 2_000;

fn timed_order(number: u64, estimate_ms: u32) -> StartOrder {
    StartOrder {
        estimate_ms,
        queue_timeout_ms: LONG_MS,
        ..order(number)
    }
}

fn send(bench: &mut Bench, start: StartOrder) {
    let orders = bench.orders(ENTRY, vec![start]);
    bench.send(orders);
}

fn drain(bench: &mut Bench) {
    bench.host.drain(bench.now_ms, &mut bench.actions);
}

/// Returns a host that shuts down and has one long run.
fn draining() -> Bench {
    let mut bench = Bench::new();
    send(&mut bench, timed_order(1, LONG_MS));
    assert_eq!(bench.execute_starts().len(), 1);
    drain(&mut bench);
    bench
}

// Hosts stood idle while a stop waited for the longest run, so that a burst that met a restart of
// agents was refused.
#[test]
fn a_draining_host_takes_tasks_that_end_before_its_longest_run() {
    let mut bench = draining();
    let update = bench.request_update(ENTRY);
    assert!(update.view.is_open);
    assert_eq!(update.view.closes_in_ms, Some(LONG_MS));
    send(&mut bench, timed_order(2, 200));
    assert_eq!(bench.execute_starts(), [(task(2), 1)]);
}

#[test]
fn a_draining_host_rejects_tasks_that_would_delay_its_stop() {
    let mut bench = draining();
    send(&mut bench, timed_order(2, LONG_MS + 100));
    assert_eq!(bench.outcome(2), Some(DRAINING));
}

#[test]
fn a_waiting_task_is_rejected_when_it_can_no_longer_end_before_the_stop() {
    let mut bench = Bench::new();
    for number in 1..=4 {
        send(&mut bench, timed_order(number, LONG_MS));
    }
    assert_eq!(bench.execute_starts().len(), 4);
    send(&mut bench, timed_order(5, 200));
    assert_eq!(bench.outcome(5), None);
    drain(&mut bench);
    bench.request_update(ENTRY);
    assert_eq!(bench.outcome(5), Some(DRAINING));
}

#[test]
fn a_host_closes_when_its_longest_run_was_expected_to_end() {
    let mut bench = draining();
    bench.advance(u64::from(LONG_MS));
    assert!(!bench.host.view(bench.now_ms).is_open);
    send(&mut bench, timed_order(2, 10));
    assert_eq!(bench.outcome(2), Some(DRAINING));
}

#[test]
fn a_host_without_runs_closes_at_once() {
    let mut bench = Bench::new();
    drain(&mut bench);
    assert!(!bench.host.view(bench.now_ms).is_open);
    assert!(bench.host.is_idle());
}

// The process ends some milliseconds after its last run: a task that was accepted in between would
// have been cut.
#[test]
fn a_draining_host_that_is_idle_takes_no_more_tasks() {
    let mut bench = draining();
    bench.end_run(task(1), TargetEnd::Done);
    bench.poll_target();
    assert!(bench.host.close_if_idle(bench.now_ms));
    send(&mut bench, timed_order(2, 10));
    assert_eq!(bench.outcome(2), Some(DRAINING));
}
