//! Checker for refusals that claim that no task ran.

use model::Answer;

use crate::check::{Bounds, Promise, Violation};
use crate::event::TaskStarted;
use crate::history::{Event, History};
use crate::index::{CopyView, Index, claims_not_run};

/// Checks that answers of the kinds *not run* and *cannot run* are true.
///
/// Let such an answer go to a copy of the submission made at `t`. It is false if any task of the
/// job starts anywhere in the history, before or after the answer, unless the start belongs to a
/// submission newer than `t` that a client sent after it had sent this copy:
///
/// - a start before the copy was sent always counts;
/// - a start whose submission is known counts unless that submission is newer than `t`;
/// - any other start counts unless a submission newer than `t` was sent before it.
///
/// A refusal for a conflict concerns only the copy's own body: a start counts only if no copy of
/// the job with another body has its payload.
#[must_use]
pub fn check_true_refusal(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = Vec::new();
    for copy in index.copies.values() {
        for (event, answer) in &copy.answers {
            if !claims_not_run(answer) {
                continue;
            }
            if let Some(start) = find_contradicting_start(&index, copy, answer) {
                let message = format!(
                    "copy {} refused as not run, but a task started",
                    copy.submission.copy
                );
                let events = [copy.submitted, event, start];
                violations.push(Violation::new(Promise::TrueRefusal, message, &events));
            }
        }
    }
    violations
}

fn find_contradicting_start<'a>(
    index: &Index<'a>,
    copy: &CopyView<'_>,
    answer: &Answer,
) -> Option<&'a Event> {
    let starts = index.starts_of(copy.submission.meta.key);
    let own_body_only = CopyView::is_conflict(answer);
    starts
        .iter()
        .find(|(event, start)| {
            (!own_body_only || has_only_own_payload(index, copy, start))
                && is_contradiction(index, copy, event, start)
        })
        .map(|(event, _)| *event)
}

/// Returns whether the copy has the payload of `start` and no copy with another body has it.
fn has_only_own_payload(index: &Index<'_>, copy: &CopyView<'_>, start: &TaskStarted) -> bool {
    let meta = &copy.submission.meta;
    let is_other = |other: &CopyView<'_>| {
        other.submission.meta.body_digest != meta.body_digest && other.has_payload_of(start)
    };
    copy.has_payload_of(start) && !index.copies_of(meta.key).any(is_other)
}

/// Returns whether `start` contradicts a refusal of the copy, by the rules of
/// [`check_true_refusal`].
fn is_contradiction(
    index: &Index<'_>,
    copy: &CopyView<'_>,
    event: &Event,
    start: &TaskStarted,
) -> bool {
    let meta = &copy.submission.meta;
    if event.sequence < copy.submitted.sequence {
        return true;
    }
    if let Some(started_unix_ms) = start.submitted_unix_ms
        && started_unix_ms <= meta.submitted_unix_ms
    {
        return true;
    }
    let is_newer = |other: &CopyView<'_>| {
        other.submission.meta.submitted_unix_ms > meta.submitted_unix_ms
            && other.submitted.sequence < event.sequence
    };
    !index.copies_of(meta.key).any(is_newer)
}
