//! Runs that must have ended by a given time: their stops, and the lease if they do not end.

use hosting::{
    LEASE_MS, PERMIT_TTL_MS, STOP_CONFIRM_MS, StartOutcome, StartRefusal, TargetCall,
    WITHDRAWAL_CONFIRM_MS,
};
use model::CALLER_RETRY_MS;

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

// The stop of a run whose start was given up had been repeated five times and was in its growing pauses
// when the entry lost its authority, and was sent only once or twice before the run had to end.
#[test]
fn a_run_given_up_gets_five_stops_after_its_entry_lost_its_authority() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.end_start(task(1), 1, StartOutcome::Unanswered);
    bench.execute_checks();
    let refusal = StartOutcome::Refused(StartRefusal::NoRoom);
    bench.end_start(task(1), 1, refusal);
    assert_eq!(bench.stops(), [task(1)]);
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

/// Creates a host that runs task 1, whose entry has just withdrawn it.
fn withdrawn_bench() -> Bench {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(100);
    withdraw(&mut bench);
    bench
}

fn withdraw(bench: &mut Bench) {
    let mut withdrawal = bench.orders(ENTRY, Vec::new());
    withdrawal.stops.push(bench.events[0].0);
    bench.send(withdrawal);
}

/// How late a process may be that competes for the processor, in milliseconds.
const BUSY_PROCESS_MS: u64 = 300;

// The lease was renewed for as long as the stops of a withdrawn run were unanswered, so that the run met
// the one for the caller's next copy at another host.
#[test]
fn the_lease_of_a_withdrawn_run_expires_before_its_caller_sends_the_job_again() {
    let mut bench = withdrawn_bench();
    let withdrawn_at_ms = bench.now_ms;
    let mut lease_end_ms = 0;
    while bench.now_ms < withdrawn_at_ms + CALLER_RETRY_MS {
        let poll = bench.host.target_poll(bench.now_ms, &mut bench.actions);
        lease_end_ms = poll.lease_end_ms.unwrap_or(lease_end_ms);
        bench.now_ms += 10;
        bench.request_update(ENTRY);
        bench.poll_target();
    }
    let on_a_slow_clock_ms = (lease_end_ms - withdrawn_at_ms) * 100 / 98;
    assert!(
        on_a_slow_clock_ms + BUSY_PROCESS_MS < CALLER_RETRY_MS,
        "{on_a_slow_clock_ms} ms"
    );
    assert!(on_a_slow_clock_ms > LEASE_MS);
}

// A stop that the entry sent for another reason left the run without a time by which it had to end.
#[test]
fn a_run_that_is_stopping_gets_a_time_to_end_when_it_is_withdrawn_again() {
    let mut bench = withdrawn_bench();
    bench.advance(WITHDRAWAL_CONFIRM_MS - 50);
    assert!(renews_lease(&mut bench));
    withdraw(&mut bench);
    bench.advance(50);
    assert!(!renews_lease(&mut bench), "the earlier time stays in force");
}

// With a stop every 50 to 200 ms, one run in a thousand cost its neighbors their lease where half of the
// calls are left unanswered.
#[test]
fn a_withdrawn_run_gets_twenty_stops_before_its_lease_has_expired() {
    let mut bench = withdrawn_bench();
    let mut count = bench.stops().len();
    for _ in 0..(WITHDRAWAL_CONFIRM_MS + LEASE_MS) / 20 {
        bench.now_ms += 20;
        bench.request_update(ENTRY);
        bench.poll_target();
        count += bench.stops().len();
    }
    assert!(count >= 20, "{count}");
}

#[test]
fn a_stop_that_was_accepted_is_not_repeated_before_the_run_can_have_ended() {
    let mut bench = withdrawn_bench();
    assert_eq!(bench.stops().len(), 1);
    bench.host.stop_accepted(bench.now_ms, task(1), 1);
    bench.now_ms += 45;
    bench.poll_target();
    assert_eq!(bench.stops().len(), 0);
    bench.now_ms += 10;
    bench.poll_target();
    assert_eq!(bench.stops().len(), 1);
}

// Entries went on placing tasks at a host that starts nothing until its lease has expired.
#[test]
fn a_host_is_closed_while_a_run_that_had_to_end_may_still_run() {
    let mut bench = withdrawn_bench();
    bench.advance(WITHDRAWAL_CONFIRM_MS);
    assert!(!bench.host.view(bench.now_ms).is_open);
    bench.end_run(task(1), hosting::TargetEnd::Lapsed);
    bench.poll_target();
    assert!(bench.host.view(bench.now_ms).is_open);
}

// The lease lasts long enough for further stops, so that a run that ends late costs the others nothing.
#[test]
fn the_lease_is_renewed_again_when_a_withdrawn_run_has_ended_late() {
    let mut bench = withdrawn_bench();
    bench.advance(WITHDRAWAL_CONFIRM_MS + 100);
    assert!(!renews_lease(&mut bench));
    bench.start([2]);
    bench.end_run(task(1), hosting::TargetEnd::Stopped);
    bench.advance(50);
    assert!(renews_lease(&mut bench));
    assert_eq!(starts(&mut bench), 1);
}
