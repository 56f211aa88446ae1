//! Answers that are owed.

use crate::check::{Bounds, Promise, Violation};
use crate::event::{EventKind, LossReason};
use crate::history::{Event, History};
use crate::index::{CopyView, Index, extend_due, pauses};

/// Checks that every copy is answered by its deadline plus a bound.
///
/// The bound counts from the end of a pause of the copy's entry that overlaps with the wait.
/// Nothing is owed to a copy whose entry was killed while it waited, whose client went away or
/// was cut off, or that was never accepted. A graceful stop excuses nothing.
#[must_use]
pub fn check_answered(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let copies = index.copies.values();
    copies
        .filter_map(|copy| check_copy(history, bounds, copy))
        .collect()
}

fn check_copy(history: &History, bounds: &Bounds, copy: &CopyView<'_>) -> Option<Violation> {
    let entry = copy.submission.entry;
    let since_us = copy.submitted.at_us;
    let due_us = copy.submission.deadline_us.max(since_us) + bounds.answer_us;
    let due_us = extend_due(since_us, due_us, &pauses(history, entry), bounds.answer_us);
    let violation = |what: &str, event: Option<&Event>| {
        let message = format!("copy {} {what}, due at {due_us} us", copy.submission.copy);
        let events: Vec<_> = [Some(copy.submitted), event]
            .into_iter()
            .flatten()
            .collect();
        Some(Violation::new(Promise::Answered, message, &events))
    };
    if let Some((event, _)) = copy.answers.first() {
        return (event.at_us > due_us).then(|| violation("answered late", Some(event)))?;
    }
    let killed = history.events().iter().find(|event| {
        event.sequence > copy.submitted.sequence && event.kind == EventKind::Killed(entry)
    });
    if let Some((event, reason)) = copy.lost {
        let excused = match reason {
            LossReason::NetworkCut | LossReason::ClientGone => true,
            LossReason::NeverAccepted => copy.accepted.is_none(),
            LossReason::EntryDied => killed.is_some_and(|killed| killed.at_us <= event.at_us),
            LossReason::ClosedByEntry => false,
        };
        return (!excused).then(|| violation("dropped by a live entry", Some(event)))?;
    }
    if killed.is_some_and(|event| event.at_us <= due_us) || history.end_us() <= due_us {
        return None;
    }
    violation("never answered", None)
}
