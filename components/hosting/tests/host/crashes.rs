//! Crashes of the target.

use hosting::{LEASE_MS, TargetEnd, TargetPollOutcome, TargetReport};
use model::{RunEnd, RunEvent};

use crate::harness::{BORN_UNIX_MS, Bench, ENTRY, report, task};

impl Bench {
    fn end_poll(&mut self, outcome: TargetPollOutcome) {
        let (now_ms, actions) = (self.now_ms, &mut self.actions);
        self.host.poll_ended(now_ms, now_ms, outcome, actions);
    }

    /// Starts run 1, and run 2 some time later.
    fn start_two(&mut self, apart_ms: u64) {
        self.start([1]);
        self.execute_starts();
        self.advance(apart_ms);
        self.start([2]);
        self.execute_starts();
    }

    fn end_of(&mut self, number: u64) -> Option<RunEnd> {
        match self.outcome(number) {
            Some(RunEvent::Ended(end, _)) => Some(end),
            _ => None,
        }
    }
}

// All runs that a crash ended were reported alike, so that the task that had caused it was not known.
#[test]
fn only_runs_that_had_just_started_may_have_caused_a_crash() {
    let mut bench = Bench::new();
    bench.start_two(40);
    bench.advance(10);
    bench.end_poll(TargetPollOutcome::Inconclusive);
    // The agent learns later that the target is gone.
    bench.now_ms += 25;
    bench.end_poll(TargetPollOutcome::NobodyListens);
    assert_eq!(bench.end_of(1), Some(RunEnd::Crashed));
    assert_eq!(bench.end_of(2), Some(RunEnd::CausedCrash));
}

#[test]
fn no_job_is_the_likely_cause_of_a_crash_if_several_had_just_started() {
    let mut bench = Bench::new();
    bench.start_two(0);
    bench.end_poll(TargetPollOutcome::NobodyListens);
    assert_eq!(bench.end_of(1), Some(RunEnd::CrashedAtStart));
    assert_eq!(bench.end_of(2), Some(RunEnd::CrashedAtStart));
}

#[test]
fn broken_call_that_the_target_survives_is_no_crash() {
    let mut bench = Bench::new();
    bench.start_two(0);
    bench.end_poll(TargetPollOutcome::Inconclusive);
    bench.poll_target();
    bench.advance(60);
    bench.end_poll(TargetPollOutcome::NobodyListens);
    assert_eq!(bench.end_of(1), Some(RunEnd::Crashed));
}

#[test]
fn runs_are_lost_if_the_target_had_announced_its_end() {
    for leaves in [true, false] {
        let mut bench = Bench::new();
        bench.start_two(0);
        if leaves {
            bench.host.target_left("target");
        } else {
            bench.report(TargetReport {
                is_draining: true,
                ..report(BORN_UNIX_MS, 2)
            });
        }
        bench.end_poll(TargetPollOutcome::NobodyListens);
        assert_eq!(bench.end_of(1), Some(RunEnd::Lost));
    }
}

// One refused connection ended all runs, and they were repeated elsewhere while the target worked on
// them.
#[test]
fn a_refused_connection_ends_no_run_before_the_lease_has_expired() {
    let mut bench = Bench::with_relayed_target();
    bench.start_two(0);
    bench.advance(20);
    let granted_ms = bench.now_ms;
    bench.host.target_poll(granted_ms, &mut bench.actions);
    while bench.now_ms < granted_ms + LEASE_MS {
        let poll = bench.host.target_poll(bench.now_ms, &mut bench.actions);
        let is_renewal = poll.lease_end_ms.is_some();
        assert_eq!(is_renewal, bench.now_ms == granted_ms, "{poll:?}");
        bench.end_poll(TargetPollOutcome::NobodyListens);
        assert_eq!(bench.end_of(1), None);
        bench.now_ms += 50;
    }
    bench.now_ms += 50;
    bench.request_update(ENTRY);
    bench.end_poll(TargetPollOutcome::NobodyListens);
    assert_eq!(bench.end_of(1), Some(RunEnd::CrashedAtStart));
}

#[test]
fn a_run_that_ends_while_connections_are_refused_is_done() {
    let mut bench = Bench::with_relayed_target();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(20);
    bench.end_poll(TargetPollOutcome::NobodyListens);
    bench.end_run(task(1), TargetEnd::Done);
    bench.now_ms += 300;
    bench.request_update(ENTRY);
    bench.poll_target();
    assert_eq!(bench.end_of(1), Some(RunEnd::Done));
}
