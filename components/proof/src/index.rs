//! Lookup tables over a history, shared by the checkers.

use std::collections::BTreeMap;

use model::{Answer, Failure, FailureKind, FailureReason, JobKey, ProcessKey};

use crate::event::{CopyKey, EventKind, LossReason, Submission, TaskStarted};
use crate::history::{Event, History};

/// All recorded events of one copy.
pub struct CopyView<'a> {
    pub submission: &'a Submission,
    pub submitted: &'a Event,
    pub accepted: Option<&'a Event>,
    pub answers: Vec<(&'a Event, &'a Answer)>,
    pub lost: Option<(&'a Event, LossReason)>,
}

impl CopyView<'_> {
    /// Returns whether the answer refuses the copy since its job id is in use with another body.
    pub fn is_conflict(answer: &Answer) -> bool {
        matches!(
            answer,
            Answer::Failed(Failure {
                reason: FailureReason::Conflict,
                ..
            })
        )
    }

    /// Returns whether `start` has the payload that this copy submitted for the task.
    pub fn has_payload_of(&self, start: &TaskStarted) -> bool {
        let index = usize::from(start.task.index);
        self.submission.payload_digests.get(index) == Some(&start.payload_digest)
    }
}

/// Returns whether the answer claims that no task of the job ran.
pub fn claims_not_run(answer: &Answer) -> bool {
    let Answer::Failed(failure) = answer else {
        return false;
    };
    matches!(failure.kind, FailureKind::NotRun | FailureKind::CannotRun)
}

/// Lookup tables over one history.
pub struct Index<'a> {
    pub copies: BTreeMap<CopyKey, CopyView<'a>>,
    pub copies_by_job: BTreeMap<JobKey, Vec<CopyKey>>,
    pub starts: BTreeMap<JobKey, Vec<(&'a Event, &'a TaskStarted)>>,
    /// Answers to copies that were not submitted before.
    pub unsubmitted_answers: Vec<(&'a Event, CopyKey)>,
}

impl<'a> Index<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut index = Self {
            copies: BTreeMap::new(),
            copies_by_job: BTreeMap::new(),
            starts: BTreeMap::new(),
            unsubmitted_answers: Vec::new(),
        };
        for event in history.events() {
            index.add(event);
        }
        index
    }

    /// Returns the copies of a job.
    pub fn copies_of(&self, job: JobKey) -> impl Iterator<Item = &CopyView<'a>> {
        let keys = self.copies_by_job.get(&job).into_iter().flatten();
        keys.filter_map(|key| self.copies.get(key))
    }

    /// Returns the starts of a job's tasks.
    pub fn starts_of(&self, job: JobKey) -> &[(&'a Event, &'a TaskStarted)] {
        self.starts.get(&job).map_or(&[], Vec::as_slice)
    }

    fn add(&mut self, event: &'a Event) {
        match &event.kind {
            EventKind::Submitted(submission) => self.add_submission(event, submission),
            EventKind::CopyAccepted(copy) => {
                if let Some(view) = self.copies.get_mut(copy) {
                    view.accepted.get_or_insert(event);
                }
            }
            EventKind::Answered { copy, answer } => match self.copies.get_mut(copy) {
                Some(view) => view.answers.push((event, answer)),
                None => self.unsubmitted_answers.push((event, *copy)),
            },
            EventKind::CopyLost { copy, reason } => {
                if let Some(view) = self.copies.get_mut(copy) {
                    view.lost.get_or_insert((event, *reason));
                }
            }
            EventKind::TaskStarted(start) => {
                self.starts
                    .entry(start.task.job)
                    .or_default()
                    .push((event, start));
            }
            _ => {}
        }
    }

    fn add_submission(&mut self, event: &'a Event, submission: &'a Submission) {
        let view = CopyView {
            submission,
            submitted: event,
            accepted: None,
            answers: Vec::new(),
            lost: None,
        };
        self.copies.insert(submission.copy, view);
        self.copies_by_job
            .entry(submission.meta.key)
            .or_default()
            .push(submission.copy);
    }
}

/// Collects the windows of time from each event that `opens` to the next one that `closes`.
///
/// A window that is never closed ends at `u64::MAX`.
pub fn collect_windows(
    history: &History,
    opens: impl Fn(&EventKind) -> bool,
    closes: impl Fn(&EventKind) -> bool,
) -> Vec<(u64, u64)> {
    let mut found = Vec::new();
    let mut open_us = None;
    for event in history.events() {
        if opens(&event.kind) {
            open_us.get_or_insert(event.at_us);
        } else if closes(&event.kind)
            && let Some(from_us) = open_us.take()
        {
            found.push((from_us, event.at_us));
        }
    }
    found.extend(open_us.map(|from_us| (from_us, u64::MAX)));
    found
}

/// Returns the windows during which `process` was paused.
pub fn pauses(history: &History, process: ProcessKey) -> Vec<(u64, u64)> {
    collect_windows(
        history,
        |kind| *kind == EventKind::Paused(process),
        |kind| *kind == EventKind::Resumed(process),
    )
}

/// Moves `due_us` to at least `grace_us` after the end of every window that begins before it.
///
/// The caller sets `due_us` at least `grace_us` after the time at which the obligation arose, so
/// that windows that ended before that time have no effect.
pub fn extend_deadline(due_us: u64, windows: &[(u64, u64)], grace_us: u64) -> u64 {
    let mut windows = windows.to_vec();
    windows.sort_unstable();
    windows.iter().fold(due_us, |due_us, &(from_us, to_us)| {
        if from_us < due_us {
            due_us.max(to_us.saturating_add(grace_us))
        } else {
            due_us
        }
    })
}
