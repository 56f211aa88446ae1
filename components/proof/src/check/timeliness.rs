//! Checker for missing and late answers.

use std::collections::BTreeMap;

use model::ProcessKey;

use crate::check::{Bounds, Promise, Violation};
use crate::event::{EventKind, LossReason};
use crate::history::{Event, History};
use crate::index::{CopyView, Index, extend_deadline, pauses};

/// Checks that every copy is answered by its deadline plus a bound.
///
/// If the copy's entry was paused before the answer was due, the bound counts from the end of the
/// pause. No answer is due to a copy whose entry was killed before the answer, whose client
/// disconnected or was partitioned from the entry, or that was never accepted. A graceful stop of
/// the entry is no exemption.
#[must_use]
pub fn check_answered(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut entries = BTreeMap::new();
    let mut violations = Vec::new();
    for copy in index.copies.values() {
        let key = copy.submission.entry;
        let entry = entries
            .entry(key)
            .or_insert_with(|| EntryAvailability::new(history, key));
        violations.extend(entry.check(history.end_us(), bounds, copy));
    }
    violations
}

/// Times at which an entry could not answer.
struct EntryAvailability<'a> {
    pauses: Vec<(u64, u64)>,
    killed: Option<&'a Event>,
}

impl<'a> EntryAvailability<'a> {
    fn new(history: &'a History, key: ProcessKey) -> Self {
        let mut events = history.events().iter();
        Self {
            pauses: pauses(history, key),
            killed: events.find(|event| event.kind == EventKind::Killed(key)),
        }
    }

    fn check(&self, end_us: u64, bounds: &Bounds, copy: &CopyView<'_>) -> Option<Violation> {
        let due_us = self.due_us(bounds, copy);
        let violation = |what: &str, event: Option<&Event>| {
            let message = format!("copy {} {what}, due at {due_us} us", copy.submission.copy);
            let events: Vec<_> = [Some(copy.submitted), event]
                .into_iter()
                .flatten()
                .collect();
            Violation::new(Promise::Answered, message, &events)
        };
        if let Some((event, _)) = copy.answers.first() {
            return (event.at_us > due_us).then(|| violation("answered late", Some(event)));
        }
        if let Some((event, reason)) = copy.lost {
            let is_excused = self.is_excused_loss(copy, event, reason);
            return (!is_excused).then(|| violation("dropped by a live entry", Some(event)));
        }
        let is_killed = self
            .killed_after(copy)
            .is_some_and(|event| event.at_us <= due_us);
        (!is_killed && end_us > due_us).then(|| violation("never answered", None))
    }

    fn due_us(&self, bounds: &Bounds, copy: &CopyView<'_>) -> u64 {
        let since_us = copy.submitted.at_us;
        let due_us = copy.submission.deadline_us.max(since_us) + bounds.answer_us;
        extend_deadline(due_us, &self.pauses, bounds.answer_us)
    }

    fn is_excused_loss(&self, copy: &CopyView<'_>, lost: &Event, reason: LossReason) -> bool {
        match reason {
            LossReason::NetworkCut | LossReason::ClientGone => true,
            LossReason::NeverAccepted => copy.accepted.is_none(),
            LossReason::EntryDied => self
                .killed_after(copy)
                .is_some_and(|killed| killed.sequence < lost.sequence),
            LossReason::ClosedByEntry => false,
        }
    }

    fn killed_after(&self, copy: &CopyView<'_>) -> Option<&'a Event> {
        self.killed
            .filter(|event| event.sequence > copy.submitted.sequence)
    }
}
