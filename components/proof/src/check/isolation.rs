//! Checkers for the isolation of firms.

use std::collections::{BTreeMap, BTreeSet};

use model::{Answer, FirmKey, JobKey};

use crate::check::{Bounds, Promise, Violation};
use crate::event::EventKind;
use crate::history::{Event, History};
use crate::index::Index;
use crate::results::firm_of;

/// Checks that no answer and no dump for one firm contains data of another.
///
/// Results and dumped jobs carry the key of their firm; the text of a failure must not contain the
/// key of another firm.
#[must_use]
pub fn check_isolation(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let firms: BTreeSet<_> = index.copies_by_job.keys().map(|job| job.firm).collect();
    let mut violations = Vec::new();
    for copy in index.copies.values() {
        let firm = copy.submission.meta.key.firm;
        for (event, answer) in &copy.answers {
            if has_foreign_data(answer, firm, &firms) {
                let message = format!(
                    "answer to copy {} of {firm} contains data of another firm",
                    copy.submission.copy
                );
                let events = [copy.submitted, event];
                violations.push(Violation::new(Promise::Isolation, message, &events));
            }
        }
    }
    violations.extend(history.events().iter().filter_map(check_dump));
    violations
}

fn has_foreign_data(answer: &Answer, firm: FirmKey, firms: &BTreeSet<FirmKey>) -> bool {
    match answer {
        Answer::Complete(results) => results
            .iter()
            .filter_map(|result| firm_of(result))
            .any(|found| found != firm),
        Answer::Failed(failure) => firms
            .iter()
            .any(|other| *other != firm && failure.detail.contains(&other.to_string())),
    }
}

fn check_dump(event: &Event) -> Option<Violation> {
    let EventKind::Dumped { firm, jobs } = &event.kind else {
        return None;
    };
    let foreign = jobs.iter().find(|job| job.firm != *firm)?;
    let message = format!("dump for {firm} shows a job of {}", foreign.firm);
    Some(Violation::new(Promise::Isolation, message, &[event]))
}

/// Outcome of a copy, without the details that differ between runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Complete,
    Failed(&'static str, &'static str),
    Unanswered,
}

/// Checks that faults confined to the work of other firms change no outcome of `firm`'s jobs.
///
/// Compares the run without these faults, `baseline`, to the run with them, `faulted`. The events
/// of a violation are those of `faulted`.
#[must_use]
pub fn check_unaffected(baseline: &History, faulted: &History, firm: FirmKey) -> Vec<Violation> {
    let baseline = outcomes(&Index::new(baseline), firm);
    let index = Index::new(faulted);
    let faulted = outcomes(&index, firm);
    let jobs: BTreeSet<_> = baseline.keys().chain(faulted.keys()).collect();
    let differs = |job: &&&JobKey| baseline.get(**job) != faulted.get(**job);
    let violation = |job: &JobKey| {
        let (before, after) = (baseline.get(job), faulted.get(job));
        let message =
            format!("{job:?} of {firm}: {before:?} without the faults, {after:?} with them");
        let events: Vec<_> = index.copies_of(*job).map(|copy| copy.submitted).collect();
        Violation::new(Promise::Isolation, message, &events)
    };
    jobs.iter()
        .filter(differs)
        .map(|job| violation(job))
        .collect()
}

fn outcomes(index: &Index<'_>, firm: FirmKey) -> BTreeMap<JobKey, BTreeSet<Outcome>> {
    let mut outcomes = BTreeMap::<_, BTreeSet<_>>::new();
    for copy in index
        .copies
        .values()
        .filter(|copy| copy.submission.meta.key.firm == firm)
    {
        let outcome =
            copy.answers
                .first()
                .map_or(Outcome::Unanswered, |(_, answer)| match answer {
                    Answer::Complete(_) => Outcome::Complete,
                    Answer::Failed(failure) => {
                        Outcome::Failed(failure.kind.into(), failure.reason.into())
                    }
                });
        outcomes
            .entry(copy.submission.meta.key)
            .or_default()
            .insert(outcome);
    }
    outcomes
}
