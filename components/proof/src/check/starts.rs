//! Checkers for starts of tasks.

use std::collections::BTreeMap;

use model::Answer;

use crate::check::{Bounds, Promise, Violation};
use crate::history::{Event, History};
use crate::index::{CopyView, Index, claims_not_run};

/// Checks that no task starts twice, over all attempts and submissions.
#[must_use]
pub fn check_starts_once(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut first_starts = BTreeMap::new();
    let mut violations = Vec::new();
    for (event, start) in index.starts.values().flatten() {
        if let Some(first) = first_starts.insert(start.task, *event) {
            let message = format!("task {:?} started again", start.task);
            violations.push(Violation::new(
                Promise::StartsOnce,
                message,
                &[first, event],
            ));
        }
    }
    violations
}

/// Checks that jobs that are not repeatable run at most once.
///
/// Two cases violate this: a second start of a task, and a start under a newer submission while an
/// older one may have run. An older one may have run if it was answered before the start and none
/// of its copies was answered as not run.
#[must_use]
pub fn check_at_most_once(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = Vec::new();
    for (job, starts) in &index.starts {
        if index
            .copies_of(*job)
            .all(|copy| copy.submission.meta.repeatable)
        {
            continue;
        }
        let mut first_starts = BTreeMap::new();
        for (event, start) in starts {
            if let Some(first) = first_starts.insert(start.task, *event) {
                let message = format!(
                    "task {:?} of a job that is not repeatable started again",
                    start.task
                );
                violations.push(Violation::new(
                    Promise::AtMostOnce,
                    message,
                    &[first, event],
                ));
            }
            let Some(submitted_unix_ms) = start.submitted_unix_ms else {
                continue;
            };
            let copies: Vec<_> = index.copies_of(*job).collect();
            if let Some(answered) = find_unresolved_answer(&copies, submitted_unix_ms, event) {
                let message = format!(
                    "{:?} started under a newer submission after an older one may have run",
                    start.task
                );
                violations.push(Violation::new(
                    Promise::AtMostOnce,
                    message,
                    &[answered, event],
                ));
            }
        }
    }
    violations
}

/// Finds an answer before `start` to a submission that is older than `submitted_unix_ms` and may
/// have run, that is, none of its copies was answered as not run.
fn find_unresolved_answer<'a>(
    copies: &[&CopyView<'a>],
    submitted_unix_ms: u64,
    start: &Event,
) -> Option<&'a Event> {
    let answers = |copy: &CopyView<'a>| {
        let before = |(event, answer): &(&'a Event, &'a Answer)| {
            event.sequence < start.sequence && !CopyView::is_conflict(answer)
        };
        copy.answers.clone().into_iter().filter(before)
    };
    let is_resolved = |older_unix_ms: u64| {
        copies
            .iter()
            .filter(|copy| copy.submission.meta.submitted_unix_ms == older_unix_ms)
            .any(|copy| answers(copy).any(|(_, answer)| claims_not_run(answer)))
    };
    copies
        .iter()
        .filter(|copy| copy.submission.meta.submitted_unix_ms < submitted_unix_ms)
        .filter(|copy| !is_resolved(copy.submission.meta.submitted_unix_ms))
        .find_map(|copy| answers(copy).map(|(event, _)| event).next())
}
