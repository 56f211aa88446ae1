//! Permits and connections: which orders are accepted, and when runs end with the authority.

use hosting::{
    PERMIT_TTL_MS, RECONNECT_GRACE_MS, StartOutcome, StartRefusal, TargetCall, TargetEnd,
};
use model::{NotStartedReason, RunEnd, RunEvent};

use crate::harness::{Bench, ENTRY, OTHER_ENTRY, order, task};

#[test]
fn an_order_without_a_permit_is_refused() {
    let mut bench = Bench::new();
    bench.permit = None;
    bench.start([1]);
    assert_eq!(bench.execute_starts(), []);
    let refused = RunEvent::NotStarted(NotStartedReason::PermitExpired);
    assert_eq!(bench.outcome(1), Some(refused));
}

#[test]
fn an_order_delayed_beyond_its_permit_is_refused() {
    let mut bench = Bench::new();
    let orders = bench.orders(ENTRY, vec![order(1)]);
    bench.now_ms += PERMIT_TTL_MS;
    bench.poll_target();
    bench.send(orders);
    assert_eq!(bench.execute_starts(), []);
}

#[test]
fn the_runs_of_a_silent_entry_are_stopped_when_its_permit_expires() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance_without_entry(PERMIT_TTL_MS - 50);
    assert_eq!(bench.stops(), []);
    bench.advance_without_entry(50);
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn a_resumed_agent_stops_the_runs_before_it_accepts_orders() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    let orders = bench.orders(ENTRY, vec![order(2)]);
    bench.now_ms += 5_000;
    bench.send(orders);
    let actions = std::mem::take(&mut bench.actions);
    assert!(
        matches!(actions[..], [TargetCall::Stop { .. }]),
        "{actions:?}"
    );
}

// Guards against an agent that is suspended while a start is on the way, and afterwards repeats it
// with a new lease although the entry has lost its authority (deploy/days/machines.toml, seed
// 584228248914).
#[test]
fn a_resumed_agent_does_not_repeat_a_start() {
    for outcome in [
        StartOutcome::Unanswered,
        StartOutcome::Inconclusive,
        StartOutcome::NobodyListens,
        StartOutcome::Refused(StartRefusal::LeaseOver),
        StartOutcome::Refused(StartRefusal::StaleToken),
        StartOutcome::Refused(StartRefusal::OldNumber),
    ] {
        let mut bench = Bench::new();
        bench.start([1]);
        bench.actions.clear();
        bench.now_ms += 2_300;
        let now_ms = bench.now_ms;
        bench
            .host
            .handle_start_outcome(now_ms, task(1), 1, outcome, &mut bench.actions);
        let actions = std::mem::take(&mut bench.actions);
        let is_start = |action: &TargetCall| matches!(action, TargetCall::Start { .. });
        assert!(!actions.iter().any(is_start), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn runs_continue_if_the_entry_reconnects_within_the_grace_period() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.host.connection_closed(bench.now_ms, ENTRY);
    bench.advance_without_entry(RECONNECT_GRACE_MS - 100);
    bench.advance(1_000);
    assert_eq!(bench.stops(), []);
    bench.host.connection_closed(bench.now_ms, ENTRY);
    bench.advance_without_entry(RECONNECT_GRACE_MS);
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn duplicate_orders_are_executed_once() {
    let mut bench = Bench::new();
    let orders = bench.orders(ENTRY, vec![order(1)]);
    bench.send(orders.clone());
    bench.execute_starts();
    bench.end_run(task(1), hosting::TargetEnd::Done);
    bench.poll_target();
    bench.send(orders);
    assert_eq!(bench.execute_starts(), []);
}

#[test]
fn a_job_sent_again_at_another_entry_ends_the_run_of_the_first() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    let first_permit = bench.permit;
    bench.request_update(OTHER_ENTRY);
    let orders = bench.orders(OTHER_ENTRY, vec![order(1)]);
    bench.send(orders);
    bench.permit = first_permit;
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn waiting_orders_of_a_silent_entry_are_rejected() {
    let mut bench = Bench::new();
    bench.start(1..=4);
    bench.execute_starts();
    let mut patient = order(5);
    patient.queue_timeout_ms = 10_000;
    let orders = bench.orders(ENTRY, vec![patient]);
    bench.send(orders);
    bench.advance_without_entry(PERMIT_TTL_MS);
    let refused = RunEvent::NotStarted(NotStartedReason::PermitExpired);
    assert_eq!(bench.outcome(5), Some(refused));
}

// Guards against an agent that removes the state of an entry and numbers its events from 1 again:
// entries that were cut off for 12 s ignored all events for a while afterwards.
#[test]
fn events_after_a_long_silence_have_new_numbers() {
    let mut bench = Bench::new();
    let run = |bench: &mut Bench, number| {
        bench.start([number]);
        bench.execute_starts();
        bench.end_run(task(number), TargetEnd::Done);
        bench.poll_target();
        bench.outcome(number)
    };
    let is_done = |event| matches!(event, Some(RunEvent::Ended(RunEnd::Done, _)));
    assert!(is_done(run(&mut bench, 1)));
    bench.advance_without_entry(15_000);
    bench.request_update(ENTRY);
    assert!(is_done(run(&mut bench, 2)));
}
