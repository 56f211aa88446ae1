//! Orders and polls that fail: how often they are repeated, and what is claimed about the run.

use hosting::{
    LEASE_MS, StartOutcome, StartRefusal, TARGET_CALL_TIMEOUT_MS, TargetCall, TargetIdentity,
    TargetPollOutcome,
};
use model::{NotStartedReason, RunEnd, RunEvent, TaskRef};

use crate::harness::{BORN_UNIX_MS, Bench, ENTRY, report, task};

/// Time over which calls are counted, in milliseconds.
const DURATION_MS: u64 = 6_000;

/// Runs that are starting when the target fails.
const RUNS: usize = 4;

const REFUSALS: [StartRefusal; 3] = [
    StartRefusal::StaleToken,
    StartRefusal::OldNumber,
    StartRefusal::LeaseOver,
];

const NO_TARGET: RunEvent = RunEvent::NotStarted(NotStartedReason::NoTarget);

#[derive(Debug, Default)]
struct Calls {
    starts: usize,
    stops: usize,
    polls: usize,
    checks: usize,
}

/// Counts the calls to a target whose starts and polls end so after a time in milliseconds.
fn count_calls(
    bench: &mut Bench,
    start: (StartOutcome, u64),
    poll: &(TargetPollOutcome, u64),
) -> Calls {
    let mut calls = Calls::default();
    let mut starts: Vec<(u64, TaskRef, u32)> = Vec::new();
    let mut checks: Vec<(u64, TargetIdentity)> = Vec::new();
    let mut poll_sent_ms = None;
    for now_ms in bench.now_ms..bench.now_ms + DURATION_MS {
        bench.now_ms = now_ms;
        for (sent_ms, task, number) in std::mem::take(&mut starts) {
            if sent_ms + start.1 > now_ms {
                starts.push((sent_ms, task, number));
                continue;
            }
            bench.end_start(task, number, start.0);
        }
        for (sent_ms, identity) in std::mem::take(&mut checks) {
            if sent_ms + poll.1.min(TARGET_CALL_TIMEOUT_MS) > now_ms {
                checks.push((sent_ms, identity));
                continue;
            }
            let actions = &mut bench.actions;
            bench
                .host
                .check_ended(now_ms, sent_ms, &identity, &poll.0, actions);
        }
        if let Some(sent_ms) = poll_sent_ms.filter(|sent_ms| sent_ms + poll.1 <= now_ms) {
            let (poll, actions) = (poll.0.clone(), &mut bench.actions);
            bench.host.poll_ended(now_ms, sent_ms, poll, actions);
            poll_sent_ms = None;
        }
        if now_ms.is_multiple_of(20) {
            bench.request_update(ENTRY);
            bench.host.tick(now_ms, &mut bench.actions);
        }
        if poll_sent_ms.is_none() && bench.host.next_poll_at_ms() <= now_ms {
            calls.polls += 1;
            bench.host.target_poll(now_ms, &mut bench.actions);
            poll_sent_ms = Some(now_ms);
        }
        for action in std::mem::take(&mut bench.actions) {
            match action {
                TargetCall::Start { task, number, .. } => {
                    calls.starts += 1;
                    starts.push((now_ms, task, number));
                }
                TargetCall::Stop { .. } => calls.stops += 1,
                TargetCall::Check { identity, .. } => {
                    calls.checks += 1;
                    checks.push((now_ms, identity));
                }
            }
        }
    }
    calls
}

fn starting_bench() -> Bench {
    let mut bench = Bench::new();
    bench.start(1..=RUNS as u64);
    bench
}

/// Lets the call in progress for task 1 end so, and returns the calls that follow once the target has
/// answered whether it is still there.
fn end_start(bench: &mut Bench, outcome: StartOutcome) -> Vec<TargetCall> {
    bench.actions.clear();
    bench.end_start(task(1), 1, outcome);
    bench.execute_checks();
    std::mem::take(&mut bench.actions)
}

fn end_poll(bench: &mut Bench, outcome: TargetPollOutcome) {
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    bench.host.poll_ended(now_ms, now_ms, outcome, actions);
}

fn is_not_started(event: Option<RunEvent>) -> bool {
    matches!(event, Some(RunEvent::NotStarted(_)))
}

// A start was sent again as fast as its connection was refused: a thousand times for one run.
#[test]
fn a_target_that_refuses_connections_gets_each_start_once() {
    let mut bench = starting_bench();
    let poll = (TargetPollOutcome::NobodyListens, 1);
    let calls = count_calls(&mut bench, (StartOutcome::NobodyListens, 1), &poll);
    assert_eq!((calls.starts, calls.stops), (RUNS, 0), "{calls:?}");
    assert!(calls.polls <= 42, "{calls:?}");
    assert_eq!(bench.outcome(1), Some(NO_TARGET));
}

// A start was sent again as fast as its connection was reset, or every 25 ms if it timed out.
#[test]
fn a_target_that_resets_connections_or_hangs_gets_few_calls() {
    for (start, poll, max_polls) in [
        // One in 21 ms for the 700 ms of the lease; then five, and one in 160 ms at most.
        (
            (StartOutcome::Inconclusive, 1),
            (TargetPollOutcome::Inconclusive, 1),
            34 + 37,
        ),
        (
            (StartOutcome::Unanswered, 25),
            (TargetPollOutcome::Unanswered, 180),
            42,
        ),
    ] {
        let mut bench = starting_bench();
        let calls = count_calls(&mut bench, start, &poll);
        assert!(calls.starts <= RUNS * 21, "{calls:?}");
        // Six in 250 ms and then, after the 20 repeats of the start, one in 160 ms at most.
        assert!(calls.stops <= RUNS * 24, "{calls:?}");
        assert!(calls.polls <= max_polls, "{calls:?}");
        assert!(calls.checks <= 42, "{calls:?}");
        assert!(!is_not_started(bench.outcome(1)));
    }
}

// Starts refused for token, number or lease were sent again at once and without a limit.
#[test]
fn a_start_that_is_refused_again_and_again_is_given_back() {
    for refusal in REFUSALS {
        let mut bench = starting_bench();
        let poll = (TargetPollOutcome::Answered(bench.target_runs()), 100);
        let calls = count_calls(&mut bench, (StartOutcome::Refused(refusal), 1), &poll);
        assert!(calls.starts <= RUNS * 21, "{refusal:?}: {calls:?}");
        assert_eq!(bench.outcome(1), Some(NO_TARGET), "{refusal:?}");
    }
}

// Doubled numbers overflowed after 31 refusals, doubled steps of the token after 54.
#[test]
fn refusals_of_many_orders_overflow_neither_number_nor_token() {
    for refusal in REFUSALS {
        let mut bench = Bench::new();
        for _ in 0..60 {
            bench.start([1]);
            for action in std::mem::take(&mut bench.actions) {
                if let TargetCall::Start { task, number, .. } = action {
                    bench.end_start(task, number, StartOutcome::Refused(refusal));
                }
            }
            bench.advance(200);
        }
        // A hundred years in milliseconds.
        assert!(
            bench.host.token() < 3_153_600_000_000,
            "{}",
            bench.host.token()
        );
    }
}

// The host stayed open while nothing listened, so that entries went on placing tasks there.
#[test]
fn a_refused_connection_closes_the_host_until_the_target_reports_or_answers() {
    for is_report in [true, false] {
        let mut bench = starting_bench();
        assert!(bench.request_update(ENTRY).view.is_open);
        end_start(&mut bench, StartOutcome::NobodyListens);
        assert!(!bench.request_update(ENTRY).view.is_open);
        bench.start([9]);
        assert_eq!(bench.outcome(9), Some(NO_TARGET));
        if is_report {
            bench.report(report(BORN_UNIX_MS, 2));
        } else {
            bench.poll_target();
        }
        assert!(bench.request_update(ENTRY).view.is_open);
    }
}

// An earlier copy of the start may be at work in a target that refuses a later one.
#[test]
fn a_start_that_may_have_arrived_is_never_given_back_as_not_started() {
    let refusals = REFUSALS.map(StartOutcome::Refused);
    let others = [
        StartOutcome::NobodyListens,
        StartOutcome::Refused(StartRefusal::OtherIncarnation),
        StartOutcome::Refused(StartRefusal::NoRoom),
    ];
    for first in [StartOutcome::Inconclusive, StartOutcome::Unanswered] {
        for last in refusals.into_iter().chain(others) {
            let mut bench = starting_bench();
            end_start(&mut bench, first);
            for _ in 0..30 {
                end_start(&mut bench, last);
                bench.advance(200);
                assert!(!is_not_started(bench.outcome(1)), "{first:?}, {last:?}");
            }
            end_poll(&mut bench, TargetPollOutcome::NobodyListens);
            let was_removed = last == StartOutcome::Refused(StartRefusal::OtherIncarnation);
            if first == StartOutcome::Unanswered && !was_removed {
                // The next incarnation may execute the copy that got no answer.
                let event = bench.outcome(1);
                assert!(!matches!(event, Some(RunEvent::Ended(..))), "{event:?}");
                bench.report(report(BORN_UNIX_MS + 500, 1));
                bench.host.stop_accepted(bench.now_ms, task(1), 1);
                bench.now_ms += 1;
                bench.poll_target();
            }
            let lost = bench.outcome(1);
            let expected = match last {
                StartOutcome::Refused(StartRefusal::OtherIncarnation) => RunEnd::Lost,
                _ => RunEnd::Crashed,
            };
            assert!(
                matches!(lost, Some(RunEvent::Ended(end, _)) if end == expected),
                "{first:?}, {last:?}: {lost:?}"
            );
        }
    }
}

// The run that an earlier copy began may have ended; a higher number would run the task again.
#[test]
fn an_old_number_after_an_unanswered_start_begins_no_second_run() {
    let mut bench = starting_bench();
    end_start(&mut bench, StartOutcome::Unanswered);
    let calls = end_start(&mut bench, StartOutcome::Refused(StartRefusal::OldNumber));
    assert!(
        matches!(calls[..], [TargetCall::Stop { number: 1, .. }]),
        "{calls:?}"
    );
}

// A lost answer costs its caller the time until the start is repeated. A repeat after a pause would
// be the first copy that arrives at a target that has begun to drain.
#[test]
fn the_third_repeat_of_an_unanswered_start_waits_and_is_left_out_if_the_target_drains() {
    let mut bench = starting_bench();
    for _ in 0..2 {
        let calls = end_start(&mut bench, StartOutcome::Unanswered);
        assert!(
            matches!(calls[..], [TargetCall::Start { number: 1, .. }]),
            "{calls:?}"
        );
    }
    assert_eq!(end_start(&mut bench, StartOutcome::Unanswered), []);
    let mut draining = report(BORN_UNIX_MS, 2);
    draining.is_draining = true;
    bench.report(draining);
    bench.advance(50);
    assert_eq!(bench.stops(), [task(1)]);
}

// A target that goes down and up every 1.4 s waited for the end of the pause that its absence caused.
#[test]
fn a_target_that_is_back_is_polled_on_its_report() {
    let mut bench = Bench::new();
    for life in 1..=5 {
        let down_until_ms = bench.now_ms + 700;
        while bench.now_ms < down_until_ms {
            bench.now_ms = bench.now_ms.max(bench.host.next_poll_at_ms());
            end_poll(&mut bench, TargetPollOutcome::NobodyListens);
        }
        assert!(bench.host.next_poll_at_ms() > bench.now_ms + 100);
        bench.report(report(BORN_UNIX_MS + life, 1));
        assert!(bench.host.next_poll_at_ms() <= bench.now_ms);
        let mut runs = bench.target_runs();
        runs.born_unix_ms = BORN_UNIX_MS + life;
        end_poll(&mut bench, TargetPollOutcome::Answered(runs));
        assert!(bench.request_update(ENTRY).view.is_open, "life {life}");
        bench.now_ms += 700;
    }
}

// The pauses after polls that were reset grew to 200 ms, so that the lease of the runs lapsed 700 ms
// after its last renewal although the resets had ended by then.
#[test]
fn the_lease_does_not_lapse_while_polls_are_reset_for_500_ms() {
    for offset_ms in 0..100 {
        let mut bench = starting_bench();
        bench.execute_starts();
        let resets_from_ms = bench.now_ms + 300 + offset_ms;
        let resets = resets_from_ms..resets_from_ms + 500;
        let mut lease_end_ms = bench.now_ms + LEASE_MS;
        let mut poll_sent = None;
        for now_ms in bench.now_ms..resets.end + 300 {
            bench.now_ms = now_ms;
            if now_ms.is_multiple_of(20) {
                bench.request_update(ENTRY);
                bench.host.tick(now_ms, &mut bench.actions);
            }
            match poll_sent {
                Some((sent_ms, _)) if resets.contains(&sent_ms) && sent_ms < now_ms => {
                    let (reset, actions) = (TargetPollOutcome::Inconclusive, &mut bench.actions);
                    bench.host.poll_ended(now_ms, sent_ms, reset, actions);
                    poll_sent = None;
                }
                Some((sent_ms, wait_ms)) if sent_ms + wait_ms <= now_ms => {
                    let answered = TargetPollOutcome::Answered(bench.target_runs());
                    let actions = &mut bench.actions;
                    bench.host.poll_ended(now_ms, sent_ms, answered, actions);
                    poll_sent = None;
                }
                _ => {}
            }
            if poll_sent.is_none() && bench.host.next_poll_at_ms() <= now_ms {
                let poll = bench.host.target_poll(now_ms, &mut bench.actions);
                if !resets.contains(&now_ms) {
                    lease_end_ms = poll.lease_end_ms.unwrap_or(lease_end_ms);
                }
                poll_sent = Some((now_ms, poll.wait_ms));
            }
            assert!(now_ms < lease_end_ms, "resets from {resets_from_ms} on");
        }
    }
}

// The parallel polls waited for the pause of the first loop, although another connection may be
// answered.
#[test]
fn parallel_polls_do_not_wait_for_the_pause_after_a_reset_while_runs_need_the_lease() {
    let mut bench = starting_bench();
    end_poll(&mut bench, TargetPollOutcome::Inconclusive);
    assert!(bench.host.next_poll_at_ms() > bench.now_ms);
    assert!(bench.host.next_parallel_poll_at_ms(bench.now_ms) <= bench.now_ms);
    end_poll(&mut bench, TargetPollOutcome::NobodyListens);
    let next_ms = bench.host.next_poll_at_ms();
    assert_eq!(bench.host.next_parallel_poll_at_ms(bench.now_ms), next_ms);
}

// A start that was due at once was sent although the target was unknown since a poll had met another
// incarnation; its call was dropped, and the run stayed in its state forever.
#[test]
fn a_start_is_not_repeated_without_a_target_but_on_its_report() {
    for outcome in [
        StartOutcome::Inconclusive,
        StartOutcome::Unanswered,
        StartOutcome::Refused(StartRefusal::LeaseOver),
    ] {
        let mut bench = starting_bench();
        end_poll(&mut bench, TargetPollOutcome::OtherIncarnation);
        assert_eq!(end_start(&mut bench, outcome), [], "{outcome:?}");
        bench.report(report(BORN_UNIX_MS, 2));
        assert!(
            matches!(bench.actions[..], [TargetCall::Start { number: 1, .. }]),
            "{outcome:?}: {:?}",
            bench.actions
        );
    }
}

// A paused start was sent to a target that had announced that it shuts down.
#[test]
fn a_paused_start_is_not_sent_to_a_target_that_leaves() {
    let mut bench = starting_bench();
    for _ in 0..5 {
        end_start(&mut bench, StartOutcome::Refused(StartRefusal::LeaseOver));
    }
    for _ in 0..3 {
        bench.end_start(task(2), 1, StartOutcome::Unanswered);
    }
    bench.actions.clear();
    bench.host.target_left("target");
    bench.now_ms += 50;
    bench.request_update(ENTRY);
    bench.host.tick(bench.now_ms, &mut bench.actions);
    assert!(
        matches!(bench.actions[..], [TargetCall::Stop { .. }]),
        "{:?}",
        bench.actions
    );
    assert_eq!(bench.stops(), [task(2)]);
    assert_eq!(bench.outcome(1), Some(NO_TARGET));
}
