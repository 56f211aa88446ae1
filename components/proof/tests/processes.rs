//! Checkers of leaving targets, graceful stops and configuration on hand-written histories.

mod common;

use common::*;
use model::{FailureKind, FailureReason, ProcessKey};
use proof::check::*;
use proof::event::{EventKind, LossReason, SwapOutcome};
use proof::fault::FaultKind;
use proof::history::History;
use rstest::rstest;

fn job() -> Job {
    Job::new("consorcio", "lock-1")
}

fn start_after_leaving(wait_us: u64, again: bool) -> History {
    let script = Script::new().submit(1, &job()).answer(1, may_have_run());
    let left_us = script.history.end_us();
    let mut script = script.at(left_us, EventKind::TargetLeaving(AGENT));
    if again {
        script = script.then(EventKind::TargetAnnounced(AGENT));
    }
    let mut history = script.history;
    let start = Script::new().start(&job(), 0).history.events()[0]
        .kind
        .clone();
    history.record(left_us + wait_us, start);
    history.record(END_US, EventKind::Ended);
    history
}

#[test]
fn starts_within_the_bound_or_after_a_return_are_valid() {
    assert_valid(&start_after_leaving(2_900_000, false));
    assert_valid(&start_after_leaving(3_100_000, true));
}

#[test]
fn finds_new_work_at_a_leaving_target() {
    let history = start_after_leaving(3_000_001, false);
    assert_violation(&history, check_leaving_target, Promise::LeavingTarget);
}

fn stop() -> Script {
    Script::new()
        .submit(1, &job())
        .then(EventKind::GracefulStop(ENTRY))
}

#[test]
fn graceful_stop_after_the_answer_is_valid() {
    let stopped = EventKind::Stopped(ENTRY);
    let script = stop()
        .run(&job())
        .answer(1, job().complete())
        .then(stopped.clone());
    assert_valid(&script.end());
    // A refusal for overload is unrelated to the stop.
    assert_valid(&stop().answer(1, not_run()).then(stopped).end());
    let later = Job::new("consorcio", "lock-2");
    let draining = failed(FailureKind::NotRun, FailureReason::Draining);
    let script = stop()
        .submit(2, &later)
        .answer(2, draining)
        .answer(1, not_run());
    assert_valid(&script.end());
}

#[rstest]
#[case(stop().lose(1, LossReason::ClosedByEntry))]
#[case(stop().answer(1, failed(FailureKind::NotRun, FailureReason::Draining)))]
#[case(stop().answer(1, failed(FailureKind::MayHaveRun, FailureReason::AgentLost)))]
#[case(stop().then(EventKind::Stopped(ENTRY)))]
#[case(stop().then(EventKind::Stopped(ENTRY)).lose(1, LossReason::EntryDied))]
fn finds_requests_cut_by_a_stop(#[case] script: Script) {
    assert_violation(&script.end(), check_graceful_stop, Promise::GracefulStop);
}

#[test]
fn finds_requests_of_other_entries_cut_by_a_stop() {
    let taken_over = failed(FailureKind::MayHaveRun, FailureReason::TakenOver);
    let script = |kind| {
        Script::new()
            .submit_to(OTHER_ENTRY, 1, &job())
            .then(EventKind::GracefulStop(ENTRY))
            .then(EventKind::FaultInjected { kind, firm: None })
            .answer(1, taken_over.clone())
            .end()
    };
    assert_violation(
        &script(FaultKind::Duplicate),
        check_graceful_stop,
        Promise::GracefulStop,
    );
    assert_valid(&script(FaultKind::Kill));
}

#[test]
fn finds_refusal_of_an_accepted_request_by_its_stopping_entry_beside_other_faults() {
    let draining = failed(FailureKind::NotRun, FailureReason::Draining);
    let kill = EventKind::FaultInjected {
        kind: FaultKind::Kill,
        firm: None,
    };
    let history = stop().then(kill).answer(1, draining).end();
    assert_violation(&history, check_graceful_stop, Promise::GracefulStop);
}

#[test]
fn requests_not_in_progress_are_exempt_from_a_stop() {
    let script = Script::new().submit(1, &job());
    let submitted = script.history.events()[0].kind.clone();
    let not_accepted = || {
        Script::new()
            .then(submitted.clone())
            .then(EventKind::GracefulStop(ENTRY))
    };
    let script = not_accepted().lose(1, LossReason::NeverAccepted);
    assert_valid(&script.then(EventKind::Stopped(ENTRY)).end());
    let draining = failed(FailureKind::NotRun, FailureReason::Draining);
    assert_valid(&not_accepted().answer(1, draining).end());
    let script = Script::new().submit(1, &job()).answer(1, may_have_run());
    assert_valid(&script.then(EventKind::GracefulStop(ENTRY)).end());
}

fn accept(revision: u64) -> EventKind {
    EventKind::ConfigAccepted {
        revision,
        editor: 1,
    }
}

fn in_force(process: ProcessKey, revision: u64) -> EventKind {
    EventKind::ConfigInForce { process, revision }
}

fn two_processes() -> Script {
    Script::new()
        .then(EventKind::ProcessStarted(ENTRY))
        .then(EventKind::ProcessStarted(AGENT))
        .then(accept(1))
        .then(in_force(ENTRY, 1))
}

#[test]
fn configuration_in_force_in_time_is_valid() {
    assert_valid(&two_processes().then(in_force(AGENT, 1)).end());
    let superseded = two_processes().then(accept(2)).then(in_force(ENTRY, 2));
    assert_valid(&superseded.then(in_force(AGENT, 2)).end());
    let late_joiner = two_processes().then(in_force(AGENT, 1));
    let late_joiner = late_joiner.at(9_000_000, EventKind::ProcessStarted(OTHER_ENTRY));
    assert_valid(&late_joiner.at(12_900_000, in_force(OTHER_ENTRY, 1)).end());
    assert_valid(&two_processes().then(EventKind::Killed(AGENT)).end());
}

#[rstest]
#[case(EventKind::PlatformDown, EventKind::PlatformUp)]
#[case(EventKind::Paused(AGENT), EventKind::Resumed(AGENT))]
#[case(EventKind::Unreachable(AGENT), EventKind::Reachable(AGENT))]
fn configuration_is_due_after_an_unreachable_window(
    #[case] from: EventKind,
    #[case] to: EventKind,
) {
    let script = |in_force_us| {
        let script = two_processes()
            .then(from.clone())
            .at(20_000_000, to.clone());
        script.at(in_force_us, in_force(AGENT, 1)).end()
    };
    assert_valid(&script(23_900_000));
    assert_violation(
        &script(24_100_000),
        check_config_in_force,
        Promise::Configuration,
    );
}

#[test]
fn unreachable_windows_extend_only_overlapping_due_times() {
    let start = Script::new()
        .then(EventKind::PlatformDown)
        .at(2_000_000, EventKind::PlatformUp);
    let start = start
        .then(EventKind::ProcessStarted(AGENT))
        .at(3_000_000, accept(1));
    let late = start.at(7_100_000, EventKind::PlatformDown);
    let late = late
        .at(20_000_000, EventKind::PlatformUp)
        .then(in_force(AGENT, 1))
        .end();
    assert_violation(&late, check_config_in_force, Promise::Configuration);
}

#[test]
fn window_before_the_acceptance_does_not_extend_the_due_time() {
    let script = |in_force_us| {
        let start = Script::new().then(EventKind::ProcessStarted(AGENT));
        let start = start
            .then(EventKind::PlatformDown)
            .at(2_000_000, EventKind::PlatformUp);
        start
            .at(2_500_000, accept(1))
            .at(in_force_us, in_force(AGENT, 1))
            .end()
    };
    assert_valid(&script(6_400_000));
    assert_violation(
        &script(6_600_000),
        check_config_in_force,
        Promise::Configuration,
    );
}

fn swap_called(operation: u64, expected_revision: u64) -> EventKind {
    let value_digest = 10 + operation;
    EventKind::SwapCalled {
        operation,
        operator: 1,
        expected_revision,
        value_digest,
    }
}

fn swap_returned(operation: u64, outcome: SwapOutcome) -> EventKind {
    EventKind::SwapReturned { operation, outcome }
}

fn read(script: Script, operation: u64, revision: u64, value_digest: u64) -> Script {
    script
        .then(EventKind::ReadCalled {
            operation,
            operator: 2,
        })
        .then(EventKind::ReadReturned {
            operation,
            revision,
            value_digest,
        })
}

fn race(second: SwapOutcome) -> Script {
    Script::new()
        .then(swap_called(1, 0))
        .then(swap_called(2, 0))
        .then(swap_returned(2, second))
        .then(swap_returned(1, SwapOutcome::Accepted { revision: 3 }))
        .then(accept(3))
}

#[test]
fn race_of_operators_with_one_winner_is_valid() {
    assert_valid(&read(race(SwapOutcome::Conflict), 3, 3, 11).end());
}

#[test]
fn revision_of_a_swap_without_a_known_outcome_may_be_in_force() {
    let script = race(SwapOutcome::Conflict).then(swap_called(4, 3));
    let in_force = |script: Script| script.then(in_force(ENTRY, 5)).end();
    assert_valid(&in_force(script));
    assert_valid(
        &read(
            race(SwapOutcome::Conflict).then(swap_called(4, 3)),
            5,
            5,
            14,
        )
        .end(),
    );
    let script = race(SwapOutcome::Conflict);
    assert_violation(
        &in_force(script),
        check_config_in_force,
        Promise::Configuration,
    );
}

#[test]
fn finds_lost_edits_and_stale_reads() {
    let lost_edit = race(SwapOutcome::Accepted { revision: 2 }).end();
    let stale = read(race(SwapOutcome::Conflict), 3, 0, 0).end();
    let alone = Script::new().then(swap_called(1, 0));
    let false_conflict = alone.then(swap_returned(1, SwapOutcome::Conflict)).end();
    for history in [lost_edit, stale, false_conflict] {
        assert_violation(&history, check_config_register, Promise::Configuration);
    }
}

#[test]
fn finds_configuration_missing_late_reverted_or_unpublished() {
    let missing = two_processes().end();
    let late = two_processes().at(4_100_000, in_force(AGENT, 1)).end();
    let both = || two_processes().then(in_force(AGENT, 1)).then(accept(2));
    let both = || both().then(in_force(AGENT, 2)).then(in_force(ENTRY, 2));
    let reverted = both().then(in_force(AGENT, 1)).end();
    let unpublished = both().then(in_force(AGENT, 7)).end();
    for history in [missing, late, reverted, unpublished] {
        assert_violation(&history, check_config_in_force, Promise::Configuration);
    }
}

#[test]
fn finds_two_edits_accepted_as_one_revision() {
    let history = two_processes().then(accept(1)).end();
    assert_violation(&history, check_config_register, Promise::Configuration);
}
