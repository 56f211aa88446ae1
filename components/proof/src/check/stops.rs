//! Checker for graceful stops.

use model::{Answer, FailureReason, ProcessKey};

use crate::check::{Bounds, Promise, Violation};
use crate::event::{EventKind, LossReason};
use crate::history::{Event, History};
use crate::index::{CopyView, Index};

/// Checks that a graceful stop interrupts no request in progress.
///
/// A request that the stopping process accepted before its stop is answered before the process
/// ends, unless the network or the client fails or the process is killed meanwhile, and its answer
/// is no failure caused by the stop. As long as no fault that may fail jobs was injected, no
/// request in progress at any process may fail because of the stop, since the stopping process may
/// own its shard or run its tasks.
#[must_use]
pub fn check_graceful_stop(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = Vec::new();
    for stop in history.events() {
        let EventKind::GracefulStop(process) = stop.kind else {
            continue;
        };
        let end = find_end(history, stop, process);
        for copy in index
            .copies
            .values()
            .filter(|copy| is_in_progress(copy, stop))
        {
            let problem = find_interruption(history, copy, process, end);
            if let Some((problem, event)) = problem {
                let message = format!("copy {} {problem}", copy.submission.copy);
                let events = [copy.submitted, stop, event];
                violations.push(Violation::new(Promise::GracefulStop, message, &events));
            }
        }
    }
    violations
}

fn find_end<'a>(history: &'a History, stop: &Event, process: ProcessKey) -> Option<&'a Event> {
    let is_end = |kind: &EventKind| {
        *kind == EventKind::Stopped(process) || *kind == EventKind::Killed(process)
    };
    let mut events = history.events().iter();
    events.find(|event| event.sequence > stop.sequence && is_end(&event.kind))
}

fn is_in_progress(copy: &CopyView<'_>, stop: &Event) -> bool {
    let is_accepted = copy
        .accepted
        .is_some_and(|event| event.sequence < stop.sequence);
    let done = copy.answers.first().map(|(event, _)| *event);
    let done = done.or(copy.lost.map(|(event, _)| event));
    is_accepted && done.is_none_or(|event| event.sequence > stop.sequence)
}

fn find_interruption<'a>(
    history: &History,
    copy: &CopyView<'a>,
    process: ProcessKey,
    end: Option<&'a Event>,
) -> Option<(String, &'a Event)> {
    let at_process = copy.submission.entry == process;
    if let Some((event, answer)) = copy.answers.first() {
        let reason = failure_reason(answer)?;
        let is_interrupted = (at_process && reason == FailureReason::Draining)
            || (is_abrupt_stop_reason(reason) && !has_other_cause(history, event));
        return is_interrupted.then(|| (format!("failed during a stop: {reason}"), *event));
    }
    if !at_process {
        return None;
    }
    if let Some((event, LossReason::ClosedByEntry)) = copy.lost {
        return Some((
            "lost its connection: closed by a stopping entry".to_owned(),
            event,
        ));
    }
    let end = end.filter(|end| matches!(end.kind, EventKind::Stopped(_)))?;
    let is_lost_before = copy
        .lost
        .is_some_and(|(event, _)| event.sequence < end.sequence);
    (!is_lost_before).then(|| ("unanswered when its entry ended its stop".to_owned(), end))
}

fn failure_reason(answer: &Answer) -> Option<FailureReason> {
    match answer {
        Answer::Complete(_) => None,
        Answer::Failed(failure) => Some(failure.reason),
    }
}

/// Returns whether jobs fail for this reason if a process stops without draining.
fn is_abrupt_stop_reason(reason: FailureReason) -> bool {
    matches!(
        reason,
        FailureReason::Draining
            | FailureReason::TakenOver
            | FailureReason::NoOwner
            | FailureReason::NoAuthority
            | FailureReason::AgentLost
            | FailureReason::TargetLost
            | FailureReason::ResultDropped
    )
}

fn has_other_cause(history: &History, before: &Event) -> bool {
    let events = history.events().iter();
    let mut earlier = events.take_while(|event| event.sequence < before.sequence);
    earlier.any(|event| match event.kind {
        EventKind::Killed(_) | EventKind::Paused(_) | EventKind::Unreachable(_) => true,
        EventKind::FaultInjected { kind, .. } => kind.may_fail_jobs(),
        _ => false,
    })
}
