//! Leases, fencing tokens, and repeated starts and stops.

use hosting::{
    LEASE_MS, MAX_PARALLEL_POLLS, PERMIT_TTL_MS, STOP_CONFIRM_MS, StartOutcome, StartRefusal,
    TargetCall, TargetEnd, TargetPollOutcome,
};
use model::{RunEnd, RunEvent};

use crate::harness::{Bench, task};

#[test]
fn the_lease_is_renewed_while_there_are_runs() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(100);
    let request = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    let end_ms = request.lease_end_ms.expect("a lease");
    assert!(end_ms > bench.now_ms + LEASE_MS - 50, "{end_ms}");
    assert!(end_ms <= bench.now_ms + LEASE_MS, "{end_ms}");
}

#[test]
fn a_target_that_leaves_a_call_unanswered_is_polled_in_parallel_for_a_time() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    assert_eq!(bench.host.poll_count(bench.now_ms), 1);
    let calm = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    let unanswered = TargetPollOutcome::Unanswered;
    bench
        .host
        .poll_ended(bench.now_ms, bench.now_ms, unanswered, &mut bench.actions);
    assert_eq!(bench.host.poll_count(bench.now_ms), MAX_PARALLEL_POLLS);
    let lossy = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert!(lossy.wait_ms + lossy.timeout_ms < calm.wait_ms, "{lossy:?}");
    bench.advance(5_000);
    assert_eq!(bench.host.poll_count(bench.now_ms), 1);
}

// A target that hung for seconds was polled three times in parallel, each time with a new connection.
#[test]
fn a_target_that_is_silent_for_a_lease_is_not_polled_in_parallel() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    let sent_ms = bench.now_ms;
    bench.now_ms += LEASE_MS - 1;
    let unanswered = TargetPollOutcome::Unanswered;
    bench
        .host
        .poll_ended(bench.now_ms, sent_ms, unanswered, &mut bench.actions);
    assert_eq!(bench.host.poll_count(bench.now_ms), MAX_PARALLEL_POLLS);
    assert_eq!(bench.host.poll_count(bench.now_ms + 1), 1);
    bench.poll_target();
    assert_eq!(bench.host.poll_count(bench.now_ms + 1), MAX_PARALLEL_POLLS);
}

#[test]
fn the_lease_is_not_renewed_if_a_run_is_not_stopped_in_time() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance_without_entry(PERMIT_TTL_MS + STOP_CONFIRM_MS - 50);
    let renewed = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert!(renewed.lease_end_ms.is_some());
    bench.advance_without_entry(50);
    let withheld = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert_eq!(withheld.lease_end_ms, None);
}

#[test]
fn a_stop_is_repeated_until_it_is_answered_and_the_run_is_no_longer_listed() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance_without_entry(PERMIT_TTL_MS);
    assert_eq!(bench.stops(), [task(1)]);
    bench.advance_without_entry(50);
    assert_eq!(bench.stops(), [task(1)]);
    bench.running.clear();
    bench.advance_without_entry(50);
    assert_eq!(bench.host.run_counts(), (0, 1), "no stop has been answered");
    bench.host.stop_accepted(bench.now_ms, task(1), 1);
    bench.advance_without_entry(50);
    assert_eq!(bench.host.run_counts(), (0, 0));
}

#[test]
fn an_unanswered_start_is_repeated_with_the_same_number() {
    let mut bench = Bench::new();
    bench.start([1]);
    let starts = std::mem::take(&mut bench.actions);
    let [TargetCall::Start { number, .. }] = starts[..] else {
        panic!("one start: {starts:?}");
    };
    let unanswered = StartOutcome::Unanswered;
    bench.host.handle_start_outcome(
        bench.now_ms,
        task(1),
        number,
        unanswered,
        &mut bench.actions,
    );
    bench.execute_checks();
    let again = std::mem::take(&mut bench.actions);
    assert!(
        matches!(again[..], [TargetCall::Start { number: again, .. }] if again == number),
        "{again:?}"
    );
}

// The target may still execute an earlier copy of the start when it refuses a later one.
#[test]
fn a_refusal_after_an_unanswered_start_is_reported_only_after_a_stop() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    let now_ms = bench.now_ms;
    let refused = StartOutcome::Refused(StartRefusal::NoRoom);
    for outcome in [StartOutcome::Unanswered, refused] {
        bench
            .host
            .handle_start_outcome(now_ms, task(1), 1, outcome, &mut bench.actions);
        bench.execute_checks();
    }
    assert_eq!(bench.stops(), [task(1)]);
    bench.advance(50);
    assert_eq!(bench.outcome(1), None);
    bench.host.stop_accepted(bench.now_ms, task(1), 1);
    bench.advance(50);
    assert!(matches!(
        bench.outcome(1),
        Some(RunEvent::Ended(RunEnd::Lost, _))
    ));
}

#[test]
fn a_start_refused_for_an_old_number_is_repeated_with_a_higher_one() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    let refused = StartOutcome::Refused(StartRefusal::OldNumber);
    bench
        .host
        .handle_start_outcome(bench.now_ms, task(1), 1, refused, &mut bench.actions);
    let again = std::mem::take(&mut bench.actions);
    assert!(
        matches!(again[..], [TargetCall::Start { number, .. }] if number > 1),
        "{again:?}"
    );
}

#[test]
fn a_token_that_is_too_low_is_raised() {
    let mut bench = Bench::new();
    let before = bench.host.token();
    let now_ms = bench.now_ms;
    for _ in 0..3 {
        let stale = TargetPollOutcome::StaleToken;
        bench
            .host
            .poll_ended(now_ms, now_ms, stale, &mut bench.actions);
    }
    assert!(bench.host.token() > before + 3, "{}", bench.host.token());
}

#[test]
fn the_runs_of_a_silent_target_are_lost_only_after_their_lease() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(50);
    let request = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert!(request.lease_end_ms.is_some());
    let until_ms = bench.now_ms + LEASE_MS;
    while bench.now_ms < until_ms {
        bench.now_ms += 50;
        bench.request_update(crate::harness::ENTRY);
        bench.host.tick(bench.now_ms, &mut bench.actions);
        assert!(
            !matches!(bench.outcome(1), Some(RunEvent::Ended(..))),
            "lost after {} ms",
            bench.now_ms + LEASE_MS - until_ms
        );
    }
    bench.now_ms += 50;
    bench.host.tick(bench.now_ms, &mut bench.actions);
    assert!(matches!(
        bench.outcome(1),
        Some(RunEvent::Ended(RunEnd::Lost, _))
    ));
}

#[test]
fn ends_are_acknowledged_after_they_were_processed() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.end_run(task(1), TargetEnd::Done);
    bench.advance(50);
    let request = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert_eq!(request.acknowledged, 1);
    assert!(matches!(
        bench.outcome(1),
        Some(RunEvent::Ended(RunEnd::Done, _))
    ));
}
