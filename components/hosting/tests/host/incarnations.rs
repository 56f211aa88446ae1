//! Restarts of targets and of agents.

use std::rc::Rc;

use hosting::{
    ReportOutcome, RunningRun, StartOutcome, TargetCall, TargetEnd, TargetPollOutcome, TargetReport,
};
use model::{RunEnd, RunEvent, StartOrder};

use crate::harness::{BORN_UNIX_MS, Bench, ENTRY, NO_TARGET, order, report, task};

#[test]
fn runs_of_an_earlier_agent_are_stopped_before_the_host_opens() {
    let mut bench = Bench::without_target();
    bench.running.push(RunningRun {
        task: task(9),
        number: 3,
        percent: 40,
    });
    bench.report(report(BORN_UNIX_MS, 1));
    assert!(!bench.request_update(ENTRY).has_no_earlier_runs);
    assert!(!bench.host.view(bench.now_ms).is_open);
    assert_eq!(bench.stops(), [task(9)]);
    bench.running.clear();
    bench.poll_target();
    assert!(bench.request_update(ENTRY).has_no_earlier_runs);
    assert!(bench.host.view(bench.now_ms).is_open);
}

#[test]
fn a_new_incarnation_of_the_target_ends_the_runs_as_crashed() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(60);
    bench.report(report(BORN_UNIX_MS + 500, 1));
    assert!(matches!(
        bench.outcome(1),
        Some(RunEvent::Ended(RunEnd::Crashed, _))
    ));
}

/// Returns a whole and readable report of a target elsewhere, which started later.
fn foreign_report() -> TargetReport {
    TargetReport {
        instance: Rc::from("elsewhere"),
        group: Rc::from("other group"),
        ..report(BORN_UNIX_MS + 9_000, 1)
    }
}

// The runs were reported as lost in a crash and repeated elsewhere while the target worked on them, and
// the target's own reports and lists were ignored from then on.
#[test]
fn a_report_of_another_target_ends_no_run_and_leaves_the_host_open() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(60);
    assert_eq!(
        bench.foreign_report(foreign_report()),
        ReportOutcome::Unconfirmed
    );
    bench.advance(50);
    assert_eq!(bench.outcome(1), Some(RunEvent::Started));
    assert!(bench.request_update(ENTRY).view.is_open);
    bench.start([2]);
    assert_eq!(bench.execute_starts().len(), 1);
    bench.end_run(task(1), TargetEnd::Done);
    bench.advance(50);
    let done = bench.outcome(1);
    assert!(matches!(done, Some(RunEvent::Ended(RunEnd::Done, _))));
    bench.foreign_report(report(BORN_UNIX_MS, 2));
    let sequence = bench.host.target().map(|target| target.sequence);
    assert_eq!(sequence, Some(2));
}

// The same, with the instance name of the host's own target.
#[test]
fn a_report_of_an_incarnation_that_the_target_denies_ends_no_run() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.foreign_report(report(BORN_UNIX_MS + 9_000, 1));
    bench.advance(50);
    assert_eq!(bench.outcome(1), Some(RunEvent::Started));
    assert!(bench.request_update(ENTRY).view.is_open);
}

// A group that no queue uses took the host out of use.
#[test]
fn a_report_cannot_change_group_or_labels_of_a_target_that_runs() {
    let mut bench = Bench::new();
    let other = TargetReport {
        group: Rc::from("other group"),
        ..report(BORN_UNIX_MS, 50)
    };
    let outcome = bench.foreign_report(other);
    assert_eq!(outcome, ReportOutcome::Contradictory);
    let labelled = TargetReport {
        labels: vec![Rc::from("label")],
        ..report(BORN_UNIX_MS, 60)
    };
    let outcome = bench.foreign_report(labelled);
    assert_eq!(outcome, ReportOutcome::Contradictory);
    let mut draining = report(BORN_UNIX_MS, 2);
    draining.is_draining = true;
    assert_eq!(bench.foreign_report(draining), ReportOutcome::Changed);
}

// Reports and lists of a target that started again after its clock had been set back were ignored.
#[test]
fn an_incarnation_that_started_earlier_by_its_clock_is_used_once_it_answers() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.advance(60);
    bench.running.clear();
    bench.report(report(BORN_UNIX_MS - 500, 1));
    let end = bench.outcome(1);
    assert!(matches!(end, Some(RunEvent::Ended(RunEnd::Crashed, _))));
    assert!(bench.request_update(ENTRY).view.is_open);
}

// An answer of the earlier incarnation that arrives late would end the runs of the present one.
#[test]
fn a_late_answer_of_an_earlier_incarnation_ends_no_run() {
    let mut bench = Bench::new();
    let earlier = bench.target_runs();
    let sent_ms = bench.now_ms;
    bench.advance(60);
    bench.report(report(BORN_UNIX_MS + 500, 1));
    bench.request_update(ENTRY);
    bench.start([1]);
    bench.execute_starts();
    let late = TargetPollOutcome::Answered(earlier);
    bench
        .host
        .poll_ended(bench.now_ms, sent_ms, late, &mut bench.actions);
    assert_eq!(bench.outcome(1), Some(RunEvent::Started));
    assert!(bench.request_update(ENTRY).view.is_open);
}

#[test]
fn a_target_that_answers_late_is_asked_again_about_its_report() {
    let mut bench = Bench::without_target();
    let restarted = report(BORN_UNIX_MS, 1);
    let identity = restarted.identity();
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    bench.host.handle_target_report(now_ms, restarted, actions);
    bench.actions.clear();
    for _ in 0..3 {
        let unanswered = TargetPollOutcome::Unanswered;
        let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
        let host = &mut bench.host;
        host.check_ended(now_ms, now_ms, &identity, &unanswered, actions);
        assert!(!bench.host.view(bench.now_ms).is_open);
        bench.now_ms += 200;
        bench.host.tick(bench.now_ms, &mut bench.actions);
    }
    bench.execute_checks();
    assert!(bench.host.view(bench.now_ms).is_open);
}

#[test]
fn a_late_report_of_an_earlier_incarnation_is_ignored() {
    let mut bench = Bench::new();
    bench.report(report(BORN_UNIX_MS + 500, 1));
    bench.foreign_report(report(BORN_UNIX_MS, 99));
    let born = bench.host.target().map(|target| target.born_unix_ms);
    assert_eq!(born, Some(BORN_UNIX_MS + 500));
}

// Guards against a report that arrives after the first answer and clears the target's clock. Then
// every start was rejected, and its resources stayed occupied forever.
#[test]
fn a_report_after_the_first_answer_keeps_the_clock_and_the_free_resources() {
    let mut bench = Bench::without_target();
    bench.poll_target();
    bench.report(report(BORN_UNIX_MS, 1));
    bench.request_update(ENTRY);
    bench.start([1]);
    assert_eq!(bench.execute_starts().len(), 1);
}

#[test]
fn rejected_starts_free_their_resources() {
    let mut bench = Bench::new();
    for number in 1..=40 {
        bench.start([number]);
        bench.advance(70);
        bench.actions.clear();
        let now_ms = bench.now_ms;
        let refused = hosting::StartOutcome::Refused(hosting::StartRefusal::OtherIncarnation);
        bench
            .host
            .handle_start_outcome(now_ms, task(number), 1, refused, &mut bench.actions);
    }
    let view = bench.host.view(bench.now_ms);
    assert_eq!(view.free, view.capacity);
}

#[test]
fn a_restored_target_is_dropped_when_another_incarnation_answers() {
    let mut bench = Bench::without_target();
    bench.restore_target(report(BORN_UNIX_MS - 500, 3));
    let now_ms = bench.now_ms;
    let other = TargetPollOutcome::OtherIncarnation;
    bench
        .host
        .poll_ended(now_ms, now_ms, other, &mut bench.actions);
    assert!(bench.host.target().is_none());
    bench.poll_target();
    bench.report(report(BORN_UNIX_MS, 1));
    assert!(bench.host.view(bench.now_ms).is_open);
}

#[test]
fn a_restored_target_opens_the_host_before_its_report() {
    let mut bench = Bench::without_target();
    bench.restore_target(report(BORN_UNIX_MS, 3));
    bench.poll_target();
    assert!(bench.host.view(bench.now_ms).is_open);
}

#[test]
fn a_host_that_opens_has_an_update() {
    let mut bench = Bench::without_target();
    bench.request_update(ENTRY);
    assert!(!bench.host.has_update(bench.now_ms, ENTRY, 0));
    bench.report(report(BORN_UNIX_MS, 1));
    bench.poll_target();
    assert!(bench.host.has_update(bench.now_ms, ENTRY, 0));
}

#[test]
fn a_draining_target_gets_no_new_runs() {
    let mut bench = Bench::new();
    let mut leaving = report(BORN_UNIX_MS, 2);
    leaving.is_draining = true;
    bench.report(leaving);
    bench.start([1]);
    assert_eq!(bench.execute_starts(), []);
    assert!(!bench.host.view(bench.now_ms).is_open);
}

/// Restarts the target under its name after it has been silent, and lets it execute the pending starts,
/// with or without an answer to them.
fn restart_and_execute(bench: &mut Bench, is_answered: bool) {
    bench.now_ms += 300;
    bench.running.clear();
    bench.identity.born_unix_ms += 500;
    for action in std::mem::take(&mut bench.actions) {
        let TargetCall::Start { task, number, .. } = action else {
            continue;
        };
        bench.running.push(RunningRun {
            task,
            number,
            percent: 0,
        });
        let outcome = if is_answered {
            StartOutcome::Started
        } else {
            StartOutcome::Unanswered
        };
        bench.end_start(task, number, outcome);
    }
    bench.actions.clear();
}

// A target that starts again under its name executes the starts that were repeated while it was silent.
// The runs were reported as ended with its earlier incarnation and repeated elsewhere beside them.
#[test]
fn a_run_that_the_next_incarnation_has_started_is_stopped_there_before_it_is_reported() {
    for is_answered in [true, false] {
        let mut bench = Bench::new();
        bench.start([1]);
        restart_and_execute(&mut bench, is_answered);
        bench.poll_target();
        assert_eq!(bench.stops(), [task(1)], "{is_answered}");
        let event = bench.outcome(1);
        assert!(matches!(event, None | Some(RunEvent::Started)), "{event:?}");
        bench.host.stop_accepted(bench.now_ms, task(1), 1);
        bench.end_run(task(1), TargetEnd::Stopped);
        bench.poll_target();
        let event = bench.outcome(1);
        assert!(
            matches!(event, Some(RunEvent::Ended(RunEnd::CausedCrash, _))),
            "{event:?}"
        );
    }
}

#[test]
fn a_start_that_the_next_incarnation_has_not_executed_is_reported_once_it_is_refused_there() {
    let mut bench = Bench::new();
    bench.start([1]);
    restart_and_execute(&mut bench, false);
    bench.running.clear();
    bench.poll_target();
    assert_eq!(bench.outcome(1), None);
    let poll = bench.host.target_poll(bench.now_ms, &mut bench.actions);
    assert!(poll.wait_ms <= 10, "{poll:?}");
    bench.host.stop_accepted(bench.now_ms, task(1), 1);
    bench.now_ms += 1;
    bench.poll_target();
    let event = bench.outcome(1);
    assert!(matches!(event, Some(RunEvent::Ended(..))), "{event:?}");
}

#[test]
fn a_run_that_the_next_incarnation_has_completed_is_done() {
    let mut bench = Bench::new();
    bench.start([1]);
    restart_and_execute(&mut bench, true);
    bench.poll_target();
    bench.end_run(task(1), TargetEnd::Done);
    bench.poll_target();
    let event = bench.outcome(1);
    assert!(
        matches!(event, Some(RunEvent::Ended(RunEnd::Done, _))),
        "{event:?}"
    );
}

// Stops were dropped while the incarnation that answered had not reported.
#[test]
fn a_stop_is_sent_to_a_target_that_has_not_reported() {
    let mut bench = Bench::new();
    bench.start([1]);
    restart_and_execute(&mut bench, true);
    bench.poll_target();
    let stop = bench.actions.first();
    assert!(
        matches!(stop, Some(TargetCall::Stop { instance: None, .. })),
        "{stop:?}"
    );
}

/// Returns the report of a later incarnation of another kind.
fn report_of_other_kind(bench: &Bench) -> TargetReport {
    TargetReport {
        instance: Rc::from("target of another kind"),
        labels: vec![Rc::from("other kind")],
        ..report(bench.identity.born_unix_ms + 500, 1)
    }
}

/// Orders tasks that wait for room as long as it takes.
fn start_patient(bench: &mut Bench, count: u64) {
    let patient = |number| StartOrder {
        slack_ms: 5_000,
        queue_timeout_ms: 5_000,
        ..order(number)
    };
    let orders = bench.orders(ENTRY, (1..=count).map(patient).collect());
    bench.send(orders);
}

// Tasks that waited at a host started on its next target, which lacked the label that they required.
#[test]
fn tasks_that_wait_for_a_target_do_not_start_on_its_next_incarnation() {
    let mut bench = Bench::new();
    start_patient(&mut bench, 6);
    assert_eq!(bench.execute_starts().len(), 4);
    bench.now_ms += 5;
    bench.running.clear();
    let next = report_of_other_kind(&bench);
    bench.report(next);
    bench.poll_target();
    assert!(bench.request_update(ENTRY).view.is_open);
    bench.advance(50);
    assert_eq!(bench.execute_starts(), []);
    assert_eq!([bench.outcome(5), bench.outcome(6)], [NO_TARGET; 2]);
}

#[test]
fn tasks_that_wait_are_given_back_when_another_incarnation_answers() {
    let mut bench = Bench::new();
    start_patient(&mut bench, 5);
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    let other = TargetPollOutcome::OtherIncarnation;
    bench.host.poll_ended(now_ms, now_ms, other, actions);
    assert_eq!(bench.outcome(5), NO_TARGET);
}

// An order that was on its way was accepted, although it had been placed by the labels of the target
// before. Entries of earlier releases do not tell by which view they placed a task.
#[test]
fn an_order_that_was_placed_by_the_view_of_an_earlier_target_is_given_back() {
    for tells_target in [true, false] {
        let mut bench = Bench::new();
        let number = bench.request_update(ENTRY).view.target_number;
        let placed = |id, number| StartOrder {
            target_number: tells_target.then_some(number).flatten(),
            ..order(id)
        };
        let early = bench.orders(ENTRY, vec![placed(1, number)]);
        bench.now_ms += 5;
        let next = report_of_other_kind(&bench);
        bench.report(next);
        bench.poll_target();
        bench.send(early);
        assert_eq!(bench.outcome(1), NO_TARGET, "{tells_target}");
        let newer = bench.request_update(ENTRY).view.target_number;
        assert_ne!(newer, number);
        let late = bench.orders(ENTRY, vec![placed(2, newer)]);
        bench.send(late);
        assert_eq!(bench.execute_starts(), [(task(2), 1)]);
    }
}

// The permit of an order that is sent again is renewed, so that its age does not tell.
#[test]
fn an_order_with_a_newer_permit_is_given_back_if_it_names_an_earlier_target() {
    let mut bench = Bench::new();
    let number = bench.request_update(ENTRY).view.target_number;
    let next = report_of_other_kind(&bench);
    bench.now_ms += 5;
    bench.report(next);
    bench.poll_target();
    bench.request_update(ENTRY);
    let early = StartOrder {
        target_number: number,
        ..order(1)
    };
    let orders = bench.orders(ENTRY, vec![early]);
    bench.send(orders);
    assert_eq!(bench.outcome(1), NO_TARGET);
}

// The first poll that a new incarnation answered acknowledged as many of its ends as the one before had
// had, so that the target forgot ends that the agent had not seen.
#[test]
fn a_poll_after_a_failure_acknowledges_no_ends() {
    let mut bench = Bench::new();
    bench.start([1]);
    bench.execute_starts();
    bench.end_run(task(1), TargetEnd::Done);
    bench.poll_target();
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    assert_eq!(bench.host.target_poll(now_ms, actions).acknowledged, 1);
    for failure in [
        TargetPollOutcome::Unanswered,
        TargetPollOutcome::Inconclusive,
        TargetPollOutcome::NobodyListens,
        TargetPollOutcome::OtherIncarnation,
    ] {
        let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
        bench.host.poll_ended(now_ms, now_ms, failure, actions);
        assert_eq!(bench.host.target_poll(now_ms, actions).acknowledged, 0);
    }
    bench.poll_target();
    let (now_ms, actions) = (bench.now_ms, &mut bench.actions);
    assert_eq!(bench.host.target_poll(now_ms, actions).acknowledged, 1);
}
