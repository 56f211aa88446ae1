//! Orders and polls that fail: how often they are repeated, and what is claimed about the run.

use hosting::{StartOutcome, StartRefusal, TargetCall, TargetPollOutcome};
use model::{NotStartedReason, RunEnd, RunEvent, TaskRef};

use crate::harness::{BORN_UNIX_MS, Bench, ENTRY, report, task};

/// Interval of an agent's timer, in milliseconds.
const TICK_MS: u64 = 20;

/// Time over which attempts are counted, in milliseconds.
const DURATION_MS: u64 = 6_000;

/// Runs that are at the target when it fails.
const RUNS: u64 = 4;

const ANY_REFUSAL: [StartRefusal; 3] = [
    StartRefusal::StaleToken,
    StartRefusal::OldNumber,
    StartRefusal::LeaseOver,
];

/// Calls that a target received.
#[derive(Debug, Default)]
struct Attempts {
    starts: usize,
    stops: usize,
    polls: usize,
}

/// How a target answers: the outcome of starts, and of polls, and when it is known.
struct Behaviour {
    start: StartOutcome,
    poll: TargetPollOutcome,
    /// Time until the outcome of a start is known, in milliseconds.
    start_ms: u64,
    /// Time until the outcome of a poll is known, in milliseconds.
    poll_ms: u64,
}

/// Lets the target of `RUNS` starting runs behave so for [`DURATION_MS`], and counts its calls.
fn count_attempts(bench: &mut Bench, behaviour: &Behaviour) -> Attempts {
    let mut attempts = Attempts::default();
    let until_ms = bench.now_ms + DURATION_MS;
    let mut pending: Vec<(u64, TaskRef, u32)> = Vec::new();
    let mut poll_sent_ms = None;
    while bench.now_ms < until_ms {
        for action in std::mem::take(&mut bench.actions) {
            match action {
                TargetCall::Start { task, number, .. } => {
                    attempts.starts += 1;
                    pending.push((bench.now_ms + behaviour.start_ms, task, number));
                }
                TargetCall::Stop { .. } => attempts.stops += 1,
            }
        }
        if poll_sent_ms.is_none() && bench.host.next_poll_at_ms() <= bench.now_ms {
            attempts.polls += 1;
            poll_sent_ms = Some(bench.now_ms);
        }
        bench.now_ms += 1;
        let now_ms = bench.now_ms;
        let (known, left) = pending
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        pending = left;
        let known: Vec<(u64, TaskRef, u32)> = known;
        for (_, task, number) in known {
            let outcome = behaviour.start;
            bench
                .host
                .handle_start_outcome(now_ms, task, number, outcome, &mut bench.actions);
        }
        if let Some(sent_ms) = poll_sent_ms
            && sent_ms + behaviour.poll_ms <= now_ms
        {
            let outcome = behaviour.poll.clone();
            bench
                .host
                .poll_ended(now_ms, sent_ms, outcome, &mut bench.actions);
            poll_sent_ms = None;
        }
        if now_ms.is_multiple_of(TICK_MS) {
            bench.request_update(ENTRY);
            bench.host.tick(now_ms, &mut bench.actions);
        }
    }
    attempts
}

fn starting_bench() -> Bench {
    let mut bench = Bench::new();
    bench.start(1..=RUNS);
    bench
}

fn outcome(bench: &mut Bench, outcome: StartOutcome) {
    let now_ms = bench.now_ms;
    bench
        .host
        .handle_start_outcome(now_ms, task(1), 1, outcome, &mut bench.actions);
}

fn poll(bench: &mut Bench, outcome: TargetPollOutcome) {
    let now_ms = bench.now_ms;
    bench
        .host
        .poll_ended(now_ms, now_ms, outcome, &mut bench.actions);
}

fn is_not_started(event: Option<RunEvent>) -> bool {
    matches!(event, Some(RunEvent::NotStarted(_)))
}

// A start was sent again as fast as its connection was refused: a thousand times for one run.
#[test]
fn a_target_that_refuses_connections_gets_each_start_once() {
    let mut bench = starting_bench();
    let refuses = Behaviour {
        start: StartOutcome::NobodyListens,
        poll: TargetPollOutcome::NobodyListens,
        start_ms: 1,
        poll_ms: 1,
    };
    let attempts = count_attempts(&mut bench, &refuses);
    assert_eq!(attempts.starts as u64, RUNS, "{attempts:?}");
    assert_eq!(attempts.stops, 0, "{attempts:?}");
    assert!(attempts.polls <= 42, "{attempts:?}");
    let not_started = RunEvent::NotStarted(NotStartedReason::NoTarget);
    assert_eq!(bench.outcome(1), Some(not_started));
}

// A start was sent again as fast as its connection was reset.
#[test]
fn a_target_that_resets_connections_gets_few_calls() {
    let mut bench = starting_bench();
    let resets = Behaviour {
        start: StartOutcome::Failed,
        poll: TargetPollOutcome::Failed,
        start_ms: 1,
        poll_ms: 1,
    };
    let attempts = count_attempts(&mut bench, &resets);
    assert!(attempts.starts as u64 <= RUNS * 21, "{attempts:?}");
    assert!(attempts.stops as u64 <= RUNS * 20, "{attempts:?}");
    assert!(attempts.polls <= 42, "{attempts:?}");
    assert!(!is_not_started(bench.outcome(1)));
}

// A start that timed out was repeated every 25 ms: 240 times for one run.
#[test]
fn a_target_that_hangs_gets_few_calls() {
    let mut bench = starting_bench();
    let hangs = Behaviour {
        start: StartOutcome::Unanswered,
        poll: TargetPollOutcome::Unanswered,
        start_ms: 25,
        poll_ms: 180,
    };
    let attempts = count_attempts(&mut bench, &hangs);
    assert!(attempts.starts as u64 <= RUNS * 21, "{attempts:?}");
    assert!(attempts.stops as u64 <= RUNS * 20, "{attempts:?}");
    assert!(attempts.polls <= 34, "{attempts:?}");
    assert!(!is_not_started(bench.outcome(1)));
}

// Starts refused for token, number or lease were sent again at once and without a limit.
#[test]
fn a_start_that_is_refused_again_and_again_is_given_back() {
    for refusal in ANY_REFUSAL {
        let mut bench = starting_bench();
        let refuses = Behaviour {
            start: StartOutcome::Refused(refusal),
            poll: TargetPollOutcome::Answered(bench.target_runs()),
            start_ms: 1,
            poll_ms: 100,
        };
        let attempts = count_attempts(&mut bench, &refuses);
        assert!(
            attempts.starts as u64 <= RUNS * 21,
            "{refusal:?}: {attempts:?}"
        );
        let not_started = RunEvent::NotStarted(NotStartedReason::NoTarget);
        assert_eq!(bench.outcome(1), Some(not_started), "{refusal:?}");
    }
}

// Doubled numbers overflowed after 31 refusals, doubled steps of the token after 54.
#[test]
fn refusals_of_many_orders_overflow_neither_number_nor_token() {
    for refusal in ANY_REFUSAL {
        let mut bench = Bench::new();
        for _ in 0..60 {
            bench.start([1]);
            for action in std::mem::take(&mut bench.actions) {
                if let TargetCall::Start { task, number, .. } = action {
                    let refused = StartOutcome::Refused(refusal);
                    let now_ms = bench.now_ms;
                    bench.host.handle_start_outcome(
                        now_ms,
                        task,
                        number,
                        refused,
                        &mut bench.actions,
                    );
                }
            }
            bench.advance(200);
        }
        let year_ms = 31_536_000_000;
        assert!(
            bench.host.token() < 2_000 * year_ms,
            "{}",
            bench.host.token()
        );
    }
}

// The host stayed open while nothing listened, so that entries went on placing tasks there.
#[test]
fn a_refused_connection_closes_the_host_until_the_target_reports() {
    let mut bench = starting_bench();
    assert!(bench.request_update(ENTRY).view.is_open);
    outcome(&mut bench, StartOutcome::NobodyListens);
    assert!(!bench.request_update(ENTRY).view.is_open);
    bench.start([9]);
    let not_started = RunEvent::NotStarted(NotStartedReason::NoTarget);
    assert_eq!(bench.outcome(9), Some(not_started));
    bench.report(report(BORN_UNIX_MS, 2));
    assert!(bench.request_update(ENTRY).view.is_open);
}

// The same for a poll that succeeds, as after a port that was closed for a moment.
#[test]
fn an_answered_poll_opens_the_host_again() {
    let mut bench = starting_bench();
    outcome(&mut bench, StartOutcome::NobodyListens);
    bench.poll_target();
    assert!(bench.request_update(ENTRY).view.is_open);
}

// An earlier copy of the start may be at work in a target whose connection is refused later.
#[test]
fn a_start_that_may_have_arrived_is_never_given_back_as_not_started() {
    for first in [StartOutcome::Failed, StartOutcome::Unanswered] {
        for refusal in ANY_REFUSAL.map(StartOutcome::Refused) {
            for last in [
                StartOutcome::NobodyListens,
                StartOutcome::Refused(StartRefusal::OtherIncarnation),
                StartOutcome::Refused(StartRefusal::NoRoom),
                refusal,
            ] {
                let mut bench = Bench::new();
                bench.start([1]);
                bench.actions.clear();
                outcome(&mut bench, first);
                for _ in 0..30 {
                    outcome(&mut bench, last);
                    bench.advance(200);
                    assert!(!is_not_started(bench.outcome(1)), "{first:?}, {last:?}");
                }
            }
        }
    }
}

// The run that an earlier copy began may have ended; a higher number would run the task again.
#[test]
fn an_old_number_after_an_unanswered_start_begins_no_second_run() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    outcome(&mut bench, StartOutcome::Unanswered);
    bench.actions.clear();
    outcome(&mut bench, StartOutcome::Refused(StartRefusal::OldNumber));
    assert_eq!(bench.stops(), [task(1)]);
}

// A refused connection after an unanswered start is settled by the poll that is refused too.
#[test]
fn a_refused_poll_settles_a_start_that_may_have_arrived() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.actions.clear();
    outcome(&mut bench, StartOutcome::Unanswered);
    outcome(&mut bench, StartOutcome::NobodyListens);
    assert_eq!(bench.outcome(1), None);
    poll(&mut bench, TargetPollOutcome::NobodyListens);
    assert!(matches!(
        bench.outcome(1),
        Some(RunEvent::Ended(RunEnd::Lost, _))
    ));
}

// A lost answer costs its caller the time until the start is repeated.
#[test]
fn the_first_two_repeats_of_an_unanswered_start_are_immediate() {
    let mut bench = Bench::new();
    bench.start([1]);
    for _ in 0..2 {
        bench.actions.clear();
        outcome(&mut bench, StartOutcome::Unanswered);
        assert!(matches!(
            bench.actions[..],
            [TargetCall::Start { number: 1, .. }]
        ));
    }
    bench.actions.clear();
    outcome(&mut bench, StartOutcome::Unanswered);
    assert!(bench.actions.is_empty(), "{:?}", bench.actions);
}

// A repeat after a pause would be the first copy that arrives, after the target began to drain.
#[test]
fn a_start_whose_pause_ends_while_the_target_drains_is_not_repeated() {
    let mut bench = Bench::new();
    bench.start([1]);
    for _ in 0..3 {
        bench.actions.clear();
        outcome(&mut bench, StartOutcome::Unanswered);
    }
    let mut draining = report(BORN_UNIX_MS, 2);
    draining.is_draining = true;
    bench.report(draining);
    bench.advance(50);
    assert_eq!(bench.stops(), [task(1)]);
}

// A target that goes down and up every 1.4 s was polled only after the pause that its absence
// caused.
#[test]
fn a_target_that_is_back_is_polled_on_its_report() {
    let mut bench = Bench::new();
    for life in 1..=5 {
        let down_until_ms = bench.now_ms + 700;
        while bench.now_ms < down_until_ms {
            poll(&mut bench, TargetPollOutcome::NobodyListens);
            assert!(bench.host.next_poll_at_ms() > bench.now_ms);
            bench.now_ms = bench.host.next_poll_at_ms();
        }
        poll(&mut bench, TargetPollOutcome::NobodyListens);
        bench.report(report(BORN_UNIX_MS + life, 1));
        assert!(bench.host.next_poll_at_ms() <= bench.now_ms);
        let mut runs = bench.target_runs();
        runs.born_unix_ms = BORN_UNIX_MS + life;
        poll(&mut bench, TargetPollOutcome::Answered(runs));
        assert!(bench.request_update(ENTRY).view.is_open, "life {life}");
        bench.now_ms += 700;
    }
}
