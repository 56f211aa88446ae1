//! Checkers for the contents of answers.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Answer, FailureKind, TaskKey};

use crate::check::{Bounds, Promise, Violation};
use crate::event::EventKind;
use crate::history::{Event, History};
use crate::index::{CopyView, Index};
use crate::linear::answer::check_answers;
use crate::results::{digest, result_of};

/// Checks that every answer is complete or failed.
///
/// A complete answer has one result for each task, and a target returned each of them before the
/// answer. An answer of the kind *ran and failed* comes after the start of a task of the job.
#[must_use]
pub fn check_whole_answer(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let finished = finished_tasks(history);
    let mut violations = Vec::new();
    for copy in index.copies.values() {
        for (event, answer) in &copy.answers {
            let problem = match answer {
                Answer::Complete(results) => find_invalid_result(copy, event, results, &finished),
                Answer::Failed(failure) if failure.kind == FailureKind::RanAndFailed => {
                    let starts = index.starts_of(copy.submission.meta.key);
                    let started = starts
                        .iter()
                        .any(|(start, _)| start.sequence < event.sequence);
                    (!started)
                        .then(|| "answered as ran and failed, but no task had started".to_owned())
                }
                Answer::Failed(_) => None,
            };
            if let Some(problem) = problem {
                let message = format!("copy {}: {problem}", copy.submission.copy);
                let events = [copy.submitted, event];
                violations.push(Violation::new(Promise::WholeAnswer, message, &events));
            }
        }
    }
    violations
}

/// Events at which targets returned results, with the digests of the results, by task.
type FinishedTasks<'a> = BTreeMap<TaskKey, Vec<(&'a Event, u64)>>;

fn finished_tasks(history: &History) -> FinishedTasks<'_> {
    let mut finished = FinishedTasks::new();
    for event in history.events() {
        if let EventKind::TaskFinished {
            task,
            result_digest,
        } = &event.kind
        {
            finished
                .entry(*task)
                .or_default()
                .push((event, *result_digest));
        }
    }
    finished
}

/// Describes the first missing, surplus or unknown result of a complete answer.
fn find_invalid_result(
    copy: &CopyView<'_>,
    answered: &Event,
    results: &[Bytes],
    finished: &FinishedTasks<'_>,
) -> Option<String> {
    let task_count = copy.submission.payload_digests.len();
    if results.len() != task_count {
        return Some(format!("{} results for {task_count} tasks", results.len()));
    }
    (0u16..).zip(results).find_map(|(index, result)| {
        let job = copy.submission.meta.key;
        let known = finished
            .get(&TaskKey { job, index })
            .map_or(&[][..], Vec::as_slice);
        let result_digest = digest(result);
        let returned = known
            .iter()
            .any(|(event, known)| event.sequence < answered.sequence && *known == result_digest);
        (!returned).then(|| format!("no target returned the result of task {index}"))
    })
}

/// Checks that every caller receives the answer to its own request, once.
///
/// Each result belongs to the copy's own task and payload, no copy is answered twice or before it
/// is submitted, targets receive only submitted payloads, and the answers to all copies of a job
/// are consistent with one write-once register.
#[must_use]
pub fn check_own_answer(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = check_unexpected_answers(&index);
    for copy in index.copies.values() {
        for (event, answer) in &copy.answers {
            if let Some(position) = find_mismatched_result(copy, answer) {
                let message = format!(
                    "copy {}: result {position} belongs to another task or payload",
                    copy.submission.copy
                );
                let events = [copy.submitted, event];
                violations.push(Violation::new(Promise::OwnAnswer, message, &events));
            }
        }
    }
    violations.extend(check_payloads(&index));
    for job in index.copies_by_job.keys() {
        let copies: Vec<_> = index.copies_of(*job).collect();
        violations.extend(check_answers(&copies));
    }
    violations
}

fn check_unexpected_answers(index: &Index<'_>) -> Vec<Violation> {
    let unsubmitted = index.unsubmitted_answers.iter().map(|(event, copy)| {
        let message = format!("answer to copy {copy}, which was not submitted before");
        Violation::new(Promise::OwnAnswer, message, &[event])
    });
    let repeated = index
        .copies
        .values()
        .filter(|copy| copy.answers.len() > 1)
        .map(|copy| {
            let message = format!("copy {} answered more than once", copy.submission.copy);
            let events: Vec<_> = copy.answers.iter().map(|(event, _)| *event).collect();
            Violation::new(Promise::OwnAnswer, message, &events)
        });
    unsubmitted.chain(repeated).collect()
}

/// Returns the index of the first result that does not belong to the copy's own task and payload.
fn find_mismatched_result(copy: &CopyView<'_>, answer: &Answer) -> Option<u16> {
    let Answer::Complete(results) = answer else {
        return None;
    };
    let job = copy.submission.meta.key;
    let tasks = (0u16..).zip(&copy.submission.payload_digests);
    tasks
        .zip(results)
        .find_map(|((index, payload_digest), result)| {
            let expected = result_of(TaskKey { job, index }, *payload_digest);
            (*result != expected).then_some(index)
        })
}

fn check_payloads(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (event, start) in index.starts.values().flatten() {
        let is_submitted = |copy: &CopyView<'_>| {
            copy.submitted.sequence < event.sequence && copy.has_payload_of(start)
        };
        if !index.copies_of(start.task.job).any(is_submitted) {
            let message = format!(
                "task {:?} started with a payload that was not submitted",
                start.task
            );
            violations.push(Violation::new(Promise::OwnAnswer, message, &[event]));
        }
    }
    violations
}
