//! Whose orders count.

use hosting::{HostAction, LINK_GRACE_MS, PERMIT_TTL_MS, StartOutcome, StartRefusal, TargetEnd};
use model::{NotStarted, RunEnd, RunEvent};

use crate::harness::{Bench, ENTRY, OTHER_ENTRY, order, task};

#[test]
fn an_order_without_a_permit_is_refused() {
    let mut bench = Bench::new();
    bench.permit = None;
    bench.start([1]);
    assert_eq!(bench.run_starts(), []);
    let refused = RunEvent::NotStarted(NotStarted::PermitExpired);
    assert_eq!(bench.outcome(1), Some(refused));
}

#[test]
fn an_order_that_was_held_up_longer_than_its_permit_is_refused() {
    let mut bench = Bench::new();
    let orders = bench.orders(ENTRY, vec![order(1)]);
    bench.now_ms += PERMIT_TTL_MS;
    bench.hold();
    bench.send(orders);
    assert_eq!(bench.run_starts(), []);
}

#[test]
fn the_runs_of_a_silent_entry_are_stopped_when_its_permit_ends() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.run_starts();
    bench.pass_without_entry(PERMIT_TTL_MS - 50);
    assert_eq!(bench.stops(), []);
    bench.pass_without_entry(50);
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn an_agent_that_stood_still_stops_everything_before_it_takes_orders() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.run_starts();
    let orders = bench.orders(ENTRY, vec![order(2)]);
    bench.now_ms += 5_000;
    bench.send(orders);
    let actions = std::mem::take(&mut bench.actions);
    assert!(
        matches!(actions[..], [HostAction::Stop { .. }]),
        "{actions:?}"
    );
}

// Found by a hunt on the own day `machines` (seed 584228248914): an agent froze while a start was
// under way, and sent it again with a new lease when it woke.
#[test]
fn an_agent_that_stood_still_does_not_send_a_start_again() {
    for outcome in [
        StartOutcome::Unanswered,
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
            .started(now_ms, task(1), 1, outcome, &mut bench.actions);
        let actions = std::mem::take(&mut bench.actions);
        let is_start = |action: &HostAction| matches!(action, HostAction::Start { .. });
        assert!(!actions.iter().any(is_start), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_closed_connection_leaves_time_for_a_new_one() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.run_starts();
    bench.host.link_closed(bench.now_ms, ENTRY);
    bench.pass_without_entry(LINK_GRACE_MS - 100);
    bench.pass(1_000);
    assert_eq!(bench.stops(), []);
    bench.host.link_closed(bench.now_ms, ENTRY);
    bench.pass_without_entry(LINK_GRACE_MS);
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn repeated_orders_count_once() {
    let mut bench = Bench::new();
    let orders = bench.orders(ENTRY, vec![order(1)]);
    bench.send(orders.clone());
    bench.run_starts();
    bench.end(task(1), hosting::TargetEnd::Done);
    bench.hold();
    bench.send(orders);
    assert_eq!(bench.run_starts(), []);
}

#[test]
fn a_job_that_came_back_at_another_entry_ends_the_run_of_the_first() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.run_starts();
    let first_permit = bench.permit;
    bench.ask(OTHER_ENTRY);
    let orders = bench.orders(OTHER_ENTRY, vec![order(1)]);
    bench.send(orders);
    bench.permit = first_permit;
    assert_eq!(bench.stops(), [task(1)]);
}

#[test]
fn waiting_orders_of_a_silent_entry_are_given_back() {
    let mut bench = Bench::new();
    bench.start(1..=4);
    bench.run_starts();
    let mut patient = order(5);
    patient.patience_ms = 10_000;
    let orders = bench.orders(ENTRY, vec![patient]);
    bench.send(orders);
    bench.pass_without_entry(PERMIT_TTL_MS);
    let refused = RunEvent::NotStarted(NotStarted::PermitExpired);
    assert_eq!(bench.outcome(5), Some(refused));
}

// Found by reading: entries that were cut off for 12 s heard of no task for a while afterwards.
#[test]
fn events_after_a_long_silence_are_new_to_the_entry() {
    let mut bench = Bench::new();
    let run = |bench: &mut Bench, number| {
        bench.start([number]);
        bench.run_starts();
        bench.end(task(number), TargetEnd::Done);
        bench.hold();
        bench.outcome(number)
    };
    let is_done = |event| matches!(event, Some(RunEvent::Ended(RunEnd::Done, _)));
    assert!(is_done(run(&mut bench, 1)));
    bench.pass_without_entry(15_000);
    bench.ask(ENTRY);
    assert!(is_done(run(&mut bench, 2)));
}
