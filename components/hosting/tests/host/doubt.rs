//! Starts at a target that has left a call unanswered.

use hosting::{StartOutcome, TargetCall, TargetPollOutcome};

use crate::harness::{Bench, NO_TARGET, task};

fn starts(bench: &Bench) -> usize {
    let is_start = |action: &&TargetCall| matches!(action, TargetCall::Start { .. });
    bench.actions.iter().filter(is_start).count()
}

fn leave_poll_unanswered(bench: &mut Bench) {
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    let unanswered = TargetPollOutcome::Unanswered;
    bench.host.poll_ended(now_ms, now_ms, unanswered, actions);
}

// Starts went on to a target that had fallen silent, and were begun by its next incarnation, which had other
// labels.
#[test]
fn nothing_starts_at_a_target_that_left_a_call_unanswered_before_it_answers() {
    let mut bench = Bench::new();
    leave_poll_unanswered(&mut bench);
    bench.now_ms += 1;
    bench.start([1]);
    assert_eq!(starts(&bench), 0);
    bench.execute_checks();
    assert_eq!(starts(&bench), 1);
}

#[test]
fn a_start_without_an_answer_is_not_repeated_at_the_next_incarnation() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    bench.now_ms += 25;
    bench.end_start(task(1), 1, StartOutcome::Unanswered);
    assert_eq!(starts(&bench), 0);
    bench.identity.born_unix_ms += 500;
    bench.execute_checks();
    assert_eq!(starts(&bench), 0);
    assert_eq!(bench.stops(), [task(1)]);
}

// The answer may have been on its way since before the target fell silent.
#[test]
fn the_answer_to_an_earlier_poll_ends_no_doubt_about_the_target() {
    let mut bench = Bench::new();
    let sent_at_ms = bench.now_ms;
    bench.now_ms += 5;
    leave_poll_unanswered(&mut bench);
    let answered = TargetPollOutcome::Answered(bench.target_runs());
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    bench.host.poll_ended(now_ms, sent_at_ms, answered, actions);
    bench.start([1]);
    assert_eq!(starts(&bench), 0);
}

// Where half of the calls are left unanswered, starts waited although the target had been heard since.
#[test]
fn a_start_without_an_answer_is_repeated_at_once_if_a_later_poll_has_been_answered() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    bench.now_ms += 10;
    bench.poll_target();
    bench.now_ms += 15;
    bench.end_start(task(1), 1, StartOutcome::Unanswered);
    assert_eq!(starts(&bench), 1);
}

// Tasks waited for up to 700 ms at a host whose target was silent, and entries sent more of them.
#[test]
fn a_host_whose_target_stays_silent_is_closed_and_gives_its_tasks_back() {
    let mut bench = Bench::new();
    leave_poll_unanswered(&mut bench);
    bench.start([1]);
    bench.now_ms += 20;
    bench.host.tick(bench.now_ms, &mut bench.actions);
    assert!(bench.host.view(bench.now_ms).is_open);
    bench.now_ms += 55;
    bench.host.tick(bench.now_ms, &mut bench.actions);
    assert!(!bench.host.view(bench.now_ms).is_open);
    assert_eq!(bench.outcome(1), NO_TARGET);
    bench.poll_target();
    assert!(bench.host.view(bench.now_ms).is_open);
}
