//! Checkers of starts, answers, refusals and isolation on hand-written histories.

mod common;

use bytes::Bytes;
use common::*;
use model::{Answer, FailureKind, FailureReason, FirmKey};
use proof::check::*;
use proof::event::{EventKind, LossReason};
use proof::history::History;

fn job() -> Job {
    Job::new("vembanad", "convoy-1")
}

fn one_job(answer: Answer) -> History {
    Script::new()
        .submit(1, &job())
        .run(&job())
        .answer(1, answer)
        .end()
}

#[test]
fn complete_job_is_valid() {
    assert_valid(&one_job(job().complete()));
}

#[test]
fn resubmitted_copies_with_one_answer_are_valid() {
    let history = Script::new()
        .submit(1, &job())
        .start(&job(), 0)
        .submit_to(OTHER_ENTRY, 2, &job())
        .start(&job(), 1)
        .finish(&job(), 0)
        .finish(&job(), 1)
        .answer(2, job().complete())
        .submit(3, &job())
        .answer(3, job().complete())
        .answer(1, job().complete())
        .end();
    assert_valid(&history);
}

#[test]
fn refused_job_that_runs_under_a_newer_submission_is_valid() {
    let newer = job().submitted(3_000);
    let history = Script::new()
        .submit(1, &job())
        .submit(2, &job())
        .answer(1, not_run())
        .submit(3, &newer)
        .run(&newer)
        // The refusal of the second copy arrives late.
        .answer(2, not_run())
        .answer(3, newer.complete())
        .end();
    assert_valid(&history);
}

#[test]
fn unknown_outcome_followed_by_the_result_is_valid() {
    let history = Script::new()
        .submit(1, &job())
        .answer(1, may_have_run())
        .submit(2, &job())
        .run(&job())
        .answer(2, job().complete())
        .end();
    assert_valid(&history);
}

#[test]
fn conflict_beside_the_job_is_valid() {
    let other = job().body(2, "other");
    let history = Script::new()
        .submit(1, &job())
        .run(&job())
        .submit(2, &other)
        .answer(2, failed(FailureKind::NotRun, FailureReason::Conflict))
        .answer(1, job().complete())
        .end();
    assert_valid(&history);
}

#[test]
fn finds_second_start_also_elsewhere_and_under_another_submission() {
    let again = [job(), job().submitted(3_000)];
    for second in again {
        let history = Script::new()
            .submit(1, &job())
            .submit(2, &second)
            .start(&job(), 0)
            .start_at(OTHER_ENTRY, &second, 0)
            .end();
        assert_violation(&history, check_starts_once, Promise::StartsOnce);
    }
}

#[test]
fn finds_second_start_of_a_job_that_is_not_repeatable() {
    let lock = job().not_repeatable();
    let history = Script::new()
        .submit(1, &lock)
        .start(&lock, 0)
        .start(&lock, 0)
        .end();
    assert_violation(&history, check_at_most_once, Promise::AtMostOnce);
}

#[test]
fn finds_start_under_newer_submission_after_unknown_outcome() {
    let lock = job().not_repeatable();
    let newer = lock.clone().submitted(3_000);
    let start = |script: Script| {
        script
            .submit(2, &newer)
            .start(&newer, 0)
            .answer(2, may_have_run())
            .end()
    };
    let unknown = start(Script::new().submit(1, &lock).answer(1, may_have_run()));
    assert_violation(&unknown, check_at_most_once, Promise::AtMostOnce);
    let refused = start(Script::new().submit(1, &lock).answer(1, not_run()));
    assert_valid(&refused);
}

#[test]
fn conflict_under_an_older_submission_allows_the_job_to_run() {
    let lock = job().not_repeatable().submitted(3_000);
    let conflict = failed(FailureKind::MayHaveRun, FailureReason::Conflict);
    let script = Script::new()
        .submit(1, &job().body(2, "other"))
        .answer(1, conflict);
    assert_valid(
        &script
            .submit(2, &lock)
            .run(&lock)
            .answer(2, lock.complete())
            .end(),
    );
}

#[test]
fn finds_partial_answers() {
    let short = Answer::Complete(vec![job().result(0)]);
    let long = Answer::Complete(vec![job().result(0), job().result(1), job().result(1)]);
    let empty = Answer::Complete(vec![job().result(0), Bytes::new()]);
    for answer in [short, long, empty] {
        assert_violation(&one_job(answer), check_whole_answer, Promise::WholeAnswer);
    }
}

#[test]
fn finds_complete_answer_before_a_task_finished() {
    let history = Script::new()
        .submit(1, &job())
        .start(&job(), 0)
        .start(&job(), 1)
        .finish(&job(), 0)
        .answer(1, job().complete())
        .finish(&job(), 1)
        .end();
    assert_violation(&history, check_whole_answer, Promise::WholeAnswer);
}

#[test]
fn finds_failure_of_a_task_that_never_started() {
    let answer = failed(FailureKind::RanAndFailed, FailureReason::TaskFailed);
    let history = Script::new().submit(1, &job()).answer(1, answer).end();
    assert_violation(&history, check_whole_answer, Promise::WholeAnswer);
}

#[test]
fn finds_crossed_and_swapped_results() {
    let crossed = Job::new("vembanad", "convoy-2").complete();
    let swapped = Answer::Complete(vec![job().result(1), job().result(0)]);
    for answer in [crossed, swapped] {
        assert_violation(&one_job(answer), check_own_answer, Promise::OwnAnswer);
    }
}

#[test]
fn finds_answers_repeated_or_without_a_submission() {
    let repeated = Script::new()
        .submit(1, &job())
        .run(&job())
        .answer(1, job().complete())
        .answer(1, job().complete())
        .end();
    let stray = Script::new()
        .answer(1, not_run())
        .submit(1, &job())
        .answer(1, not_run())
        .end();
    for history in [repeated, stray] {
        assert_violation(&history, check_own_answer, Promise::OwnAnswer);
    }
}

#[test]
fn finds_answers_that_differ_between_copies() {
    let ran_and_failed = failed(FailureKind::RanAndFailed, FailureReason::TaskFailed);
    for other in [not_run(), ran_and_failed] {
        let history = Script::new()
            .submit(1, &job())
            .submit(2, &job())
            .run(&job())
            .answer(1, job().complete())
            .answer(2, other)
            .end();
        assert_violation(&history, check_own_answer, Promise::OwnAnswer);
    }
}

#[test]
fn finds_payload_that_nobody_submitted() {
    let history = Script::new()
        .submit(1, &job())
        .start(&job().body(2, "other"), 0)
        .end();
    assert_violation(&history, check_own_answer, Promise::OwnAnswer);
}

#[test]
fn finds_missing_and_late_answers() {
    let missing = Script::new().submit(1, &job()).end();
    let late = Script::new().submit(1, &job()).at(
        DEADLINE_US + Bounds::default().answer_us + 1,
        EventKind::Answered {
            copy: copy(1),
            answer: not_run(),
        },
    );
    for history in [missing, late.end()] {
        assert_violation(&history, check_answered, Promise::Answered);
    }
}

#[test]
fn finds_copies_dropped_by_a_live_entry() {
    let reasons = [
        LossReason::ClosedByEntry,
        LossReason::NeverAccepted,
        LossReason::EntryDied,
    ];
    for reason in reasons {
        let history = Script::new().submit(1, &job()).lose(1, reason).end();
        assert_violation(&history, check_answered, Promise::Answered);
    }
    let stopped = Script::new()
        .submit(1, &job())
        .then(EventKind::Stopped(ENTRY))
        .end();
    assert_violation(&stopped, check_answered, Promise::Answered);
}

#[test]
fn copies_lost_with_their_entry_client_or_network_are_valid() {
    let killed = Script::new()
        .submit(1, &job())
        .then(EventKind::Killed(ENTRY));
    assert_valid(&killed.lose(1, LossReason::EntryDied).end());
    for reason in [LossReason::NetworkCut, LossReason::ClientGone] {
        assert_valid(&Script::new().submit(1, &job()).lose(1, reason).end());
    }
}

#[test]
fn pause_of_the_entry_extends_the_due_time() {
    let script = |answered_us| {
        Script::new()
            .submit(1, &job())
            .then(EventKind::Paused(ENTRY))
            .at(5_000_000, EventKind::Resumed(ENTRY))
            .at(
                answered_us,
                EventKind::Answered {
                    copy: copy(1),
                    answer: not_run(),
                },
            )
            .end()
    };
    assert_valid(&script(5_400_000));
    assert_violation(&script(5_600_000), check_answered, Promise::Answered);
}

#[test]
fn finds_false_refusals_before_and_after_the_start() {
    let cannot_run = failed(FailureKind::CannotRun, FailureReason::NoTarget);
    for refusal in [not_run(), cannot_run] {
        let before = Script::new()
            .submit(1, &job())
            .start(&job(), 0)
            .answer(1, refusal.clone());
        let after = Script::new()
            .submit(1, &job())
            .answer(1, refusal)
            .start(&job(), 0);
        for script in [before, after] {
            assert_violation(&script.end(), check_true_refusal, Promise::TrueRefusal);
        }
    }
}

#[test]
fn finds_false_refusals_beside_a_newer_submission() {
    let newer = job().submitted(3_000);
    let refused = || {
        Script::new()
            .submit(1, &job())
            .answer(1, not_run())
            .submit(2, &newer)
    };
    // A task starts under the refused submission.
    let old = refused().start(&job(), 0).end();
    assert_violation(&old, check_true_refusal, Promise::TrueRefusal);
    // The older copy is sent again after the job has run.
    let resent = refused()
        .run(&newer)
        .submit(3, &job())
        .answer(3, not_run())
        .end();
    assert_violation(&resent, check_true_refusal, Promise::TrueRefusal);
    // The newer submission is refused although the older one ran.
    let ran = Script::new()
        .submit(1, &job())
        .start(&job(), 0)
        .submit(2, &newer);
    let ran = ran.answer(2, not_run()).end();
    assert_violation(&ran, check_true_refusal, Promise::TrueRefusal);
}

#[test]
fn start_of_unknown_submission_counts_unless_a_newer_one_was_sent_before() {
    let newer = job().submitted(3_000);
    let refused = || {
        Script::new()
            .submit(1, &job())
            .submit(2, &job())
            .answer(1, not_run())
    };
    let after = refused()
        .submit(3, &newer)
        .start_under(None, AGENT, &job(), 0)
        .end();
    assert!(check_true_refusal(&after, &Bounds::default()).is_empty());
    let before = refused()
        .start_under(None, AGENT, &job(), 0)
        .submit(3, &newer)
        .end();
    assert_violation(&before, check_true_refusal, Promise::TrueRefusal);
}

#[test]
fn finds_conflict_refused_as_not_run_that_ran() {
    let other = job().body(2, "other");
    let history = Script::new()
        .submit(1, &job())
        .submit(2, &other)
        .start(&other, 0)
        .answer(2, failed(FailureKind::NotRun, FailureReason::Conflict))
        .end();
    assert_violation(&history, check_true_refusal, Promise::TrueRefusal);
}

#[test]
fn finds_work_of_another_firm_in_answers_and_dumps() {
    let agenda = Job::new("consorcio", "lock-1");
    let both = || {
        Script::new()
            .submit(1, &job())
            .submit(2, &agenda)
            .run(&agenda)
            .run(&job())
    };
    let result = both().answer(1, agenda.complete()).end();
    let text = Answer::failed(
        FailureKind::NotRun,
        FailureReason::OverQuota,
        format!("queue of {} is full", agenda.key().firm),
    );
    let text = Script::new()
        .submit(2, &agenda)
        .submit(1, &job())
        .answer(1, text)
        .end();
    let jobs = vec![job().key(), agenda.key()];
    let dump = both()
        .then(EventKind::Dumped {
            firm: job().key().firm,
            jobs,
        })
        .end();
    for history in [result, text, dump] {
        assert_violation(&history, check_isolation, Promise::Isolation);
    }
    let jobs = vec![job().key()];
    let own = both()
        .answer(1, job().complete())
        .answer(2, agenda.complete())
        .then(EventKind::Dumped {
            firm: job().key().firm,
            jobs,
        });
    assert_valid(&own.end());
}

#[test]
fn finds_outcomes_changed_by_the_other_firms_faults() {
    let firm = FirmKey::from_name("vembanad");
    let agenda = Job::new("consorcio", "lock-1");
    let with_other = |answer: Answer| {
        Script::new()
            .submit(2, &agenda)
            .answer(2, may_have_run())
            .submit(1, &job())
            .run(&job())
            .answer(1, answer)
            .end()
    };
    let calm = one_job(job().complete());
    assert_eq!(
        check_unaffected(&calm, &with_other(job().complete()), firm),
        Vec::new()
    );
    let changed = check_unaffected(&calm, &with_other(may_have_run()), firm);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].promise, Promise::Isolation);
    let missing = check_unaffected(&calm, &History::new(), firm);
    assert_eq!(missing.len(), 1);
}
