//! Runs that must have ended by a given time: their stops, and the lease if they do not end.

use hosting::{PERMIT_TTL_MS, STOP_CONFIRM_MS, StartOutcome, TargetCall};

use crate::harness::{Bench, ENTRY, OTHER_ENTRY, order, task};

/// Creates a host that runs task 1 of one entry when another one orders that task, so that the run
/// must end within [`STOP_CONFIRM_MS`].
fn replaced_bench() -> Bench {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    replace(&mut bench);
    bench
}

fn replace(bench: &mut Bench) {
    let orders = bench.orders(OTHER_ENTRY, vec![order(1)]);
    bench.send(orders);
}

fn starts(bench: &mut Bench) -> usize {
    let actions = std::mem::take(&mut bench.actions);
    let is_start = |action: &&TargetCall| matches!(action, TargetCall::Start { .. });
    actions.iter().filter(is_start).count()
}

fn renews_lease(bench: &mut Bench) -> bool {
    let poll = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    poll.lease_end_ms.is_some()
}

// The lease end in a start call covers all runs of the target, so that a start renewed the lease that
// polls withhold, and the overdue run went on beyond the bounds of docs/PLATFORM.md.
#[test]
fn nothing_starts_while_a_run_that_had_to_end_may_still_run() {
    let mut bench = replaced_bench();
    bench.advance(STOP_CONFIRM_MS);
    assert!(!renews_lease(&mut bench));
    bench.actions.clear();
    let mut patient = order(2);
    patient.queue_timeout_ms = 10_000;
    let orders = bench.orders(ENTRY, vec![patient]);
    bench.send(orders);
    bench.advance(300);
    assert_eq!(starts(&mut bench), 0);
    bench.end_run(task(1), hosting::TargetEnd::Stopped);
    bench.advance(50);
    assert_eq!(starts(&mut bench), 1);
}

// A repeated start renewed the lease in the same way, both at once and after a pause.
#[test]
fn no_start_is_repeated_while_a_run_that_had_to_end_may_still_run() {
    for unanswered in 1..=3 {
        let mut bench = replaced_bench();
        bench.start([2]);
        for _ in 1..unanswered {
            bench.end_start(task(2), 1, StartOutcome::Unanswered);
        }
        bench.now_ms += STOP_CONFIRM_MS;
        bench.request_update(ENTRY);
        bench.actions.clear();
        bench.end_start(task(2), 1, StartOutcome::Unanswered);
        bench.advance(300);
        assert_eq!(starts(&mut bench), 0, "{unanswered} unanswered");
        bench.end_run(task(1), hosting::TargetEnd::Stopped);
        bench.advance(50);
        assert_eq!(starts(&mut bench), 1, "{unanswered} unanswered");
    }
}

// A later order of the task by another entry postponed the time at which the lease is withheld.
#[test]
fn a_later_order_does_not_postpone_the_end_of_a_stopping_run() {
    let mut bench = replaced_bench();
    bench.advance(STOP_CONFIRM_MS - 50);
    replace(&mut bench);
    bench.advance(50);
    assert!(!renews_lease(&mut bench));
}

// The stop of a withdrawn run that had been repeated five times was in its growing pauses when the
// entry lost its authority, and was sent only once or twice before the run had to end.
#[test]
fn a_withdrawn_run_gets_five_stops_after_its_entry_lost_its_authority() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(100);
    let mut withdrawal = bench.orders(ENTRY, Vec::new());
    withdrawal.stops.push(bench.events[0].0);
    bench.send(withdrawal);
    bench.advance(2_000);
    let advance = |bench: &mut Bench, ms: u64| {
        for _ in 0..ms / 10 {
            bench.now_ms += 10;
            bench.poll_target();
        }
    };
    advance(&mut bench, PERMIT_TTL_MS);
    bench.stops();
    advance(&mut bench, STOP_CONFIRM_MS);
    let stops = bench.stops();
    assert!(stops.len() >= 5, "{stops:?}");
}
