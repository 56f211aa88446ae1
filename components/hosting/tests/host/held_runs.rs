//! Runs of which a start is on the way when the target is gone or silent, and the fencing token that the next
//! incarnation gets.

use hosting::{StartOutcome, TargetPollOutcome};
use model::{RunEnd, RunEvent};

use crate::harness::{BORN_UNIX_MS, Bench, NO_TARGET, report, task};

/// Lets the connections of the target be refused, so that its process is gone.
fn refuse_connections(bench: &mut Bench) {
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    let refused = TargetPollOutcome::NobodyListens;
    bench.host.poll_ended(now_ms, now_ms, refused, actions);
}

/// Creates a host whose target runs task 1, of which a first copy of the start got no answer, and whose
/// process has then ended.
fn bench_with_a_start_on_the_way() -> Bench {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    bench.end_start(task(1), 1, StartOutcome::Unanswered);
    bench.poll_target();
    assert_eq!(bench.execute_starts().len(), 1);
    bench.advance(100);
    bench.running.clear();
    refuse_connections(&mut bench);
    bench
}

fn is_ended(event: Option<RunEvent>) -> bool {
    matches!(event, Some(RunEvent::Ended(..)))
}

// A copy of a start that had got no answer was executed by the next incarnation of the target, after the run
// had been reported as crashed and its task had been started elsewhere.
#[test]
fn a_run_with_an_unanswered_start_is_reported_once_the_next_incarnation_has_refused_it() {
    let mut bench = bench_with_a_start_on_the_way();
    bench.advance_without_target(2_000);
    assert!(!is_ended(bench.outcome(1)));
    bench.actions.clear();
    bench.report(report(BORN_UNIX_MS + 5_000, 1));
    assert!(bench.stops().contains(&task(1)));
    assert!(!is_ended(bench.outcome(1)));
    bench.host.stop_accepted(bench.now_ms, task(1), 1);
    bench.now_ms += 1;
    bench.poll_target();
    let event = bench.outcome(1);
    let crashed = matches!(event, Some(RunEvent::Ended(RunEnd::Crashed, _)));
    assert!(crashed, "{event:?}");
}

#[test]
fn a_run_with_an_unanswered_start_is_reported_when_its_target_does_not_come_back() {
    let mut bench = bench_with_a_start_on_the_way();
    bench.advance_without_target(15_500);
    assert!(is_ended(bench.outcome(1)));
}

// The call was accepted by the next incarnation after the refusal of a poll had ended the run.
#[test]
fn a_run_whose_start_is_in_progress_is_not_reported_when_connections_are_refused() {
    let mut bench = Bench::new();
    bench.start([1]);
    refuse_connections(&mut bench);
    assert_eq!(bench.outcome(1), None);
    bench.end_start(task(1), 1, StartOutcome::NobodyListens);
    assert_eq!(bench.outcome(1), NO_TARGET);
}

#[test]
fn a_run_with_an_unanswered_start_at_a_silent_target_is_not_reported_with_its_lease() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.end_start(task(1), 1, StartOutcome::Unanswered);
    bench.advance_without_target(1_500);
    assert!(!is_ended(bench.outcome(1)));
}

// The next incarnation has seen no fencing token, so that it executed late starts with the present one.
#[test]
fn the_token_is_raised_once_for_each_incarnation() {
    let mut bench = Bench::new();
    let before = bench.host.token();
    let sent_at_ms = bench.now_ms;
    bench.now_ms += 5;
    bench.report(report(BORN_UNIX_MS + 5_000, 1));
    assert_eq!(bench.host.token(), before + 1);
    let stale = TargetPollOutcome::StaleToken;
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    bench.host.poll_ended(now_ms, sent_at_ms, stale, actions);
    assert_eq!(bench.host.token(), before + 1, "a call of before");
}
