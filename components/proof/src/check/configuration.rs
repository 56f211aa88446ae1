//! Checkers for the configuration.

use std::collections::{BTreeMap, BTreeSet};

use model::ProcessKey;

use crate::check::{Bounds, Promise, Violation};
use crate::event::{EventKind, SwapOutcome};
use crate::history::{Event, History};
use crate::index::{collect_windows, extend_deadline, pauses};
use crate::linear::Operation;
use crate::linear::register::{RegisterOperation, check_register};

/// Checks that every live process puts an accepted revision, or a newer one, in force in time, and
/// that no process returns to an older revision.
///
/// The bound counts from the acceptance or from the start of the process, whichever is later. If
/// the platform is down or the process is paused or unreachable in that time, the bound counts
/// from the end of that state. Processes that are stopping or dead are exempt.
#[must_use]
pub fn check_config_in_force(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let outages = collect_windows(
        history,
        |kind| *kind == EventKind::PlatformDown,
        |kind| *kind == EventKind::PlatformUp,
    );
    let mut violations = check_reversions(history);
    violations.extend(check_unpublished_revisions(history));
    for process in history.events() {
        let EventKind::ProcessStarted(key) = process.kind else {
            continue;
        };
        let view = ProcessAvailability::new(history, process, key, &outages);
        for event in history.events() {
            if let EventKind::ConfigAccepted { revision, .. } = event.kind {
                violations.extend(view.check(history, bounds, event, revision));
            }
        }
    }
    violations
}

/// Times that decide by when a process must have a revision in force.
struct ProcessAvailability<'a> {
    key: ProcessKey,
    started: &'a Event,
    ended_us: u64,
    /// Windows of time in which configuration could not reach the process.
    blocked: Vec<(u64, u64)>,
}

impl<'a> ProcessAvailability<'a> {
    fn new(history: &History, started: &'a Event, key: ProcessKey, outages: &[(u64, u64)]) -> Self {
        let is_end = |kind: &EventKind| {
            [
                EventKind::GracefulStop(key),
                EventKind::Stopped(key),
                EventKind::Killed(key),
            ]
            .contains(kind)
        };
        let end = history.events().iter().find(|event| is_end(&event.kind));
        let mut blocked = outages.to_vec();
        blocked.extend(pauses(history, key));
        blocked.extend(collect_windows(
            history,
            |kind| *kind == EventKind::Unreachable(key),
            |kind| *kind == EventKind::Reachable(key),
        ));
        Self {
            key,
            started,
            ended_us: end.map_or(u64::MAX, |event| event.at_us),
            blocked,
        }
    }

    fn check(
        &self,
        history: &History,
        bounds: &Bounds,
        accepted: &Event,
        revision: u64,
    ) -> Option<Violation> {
        let since_us = accepted.at_us.max(self.started.at_us);
        let due_us = since_us + bounds.config_us;
        let due_us = extend_deadline(due_us, &self.blocked, bounds.config_us);
        if self.ended_us <= due_us || history.end_us() <= due_us {
            return None;
        }
        let is_in_force = history.events().iter().any(|event| match event.kind {
            EventKind::ConfigInForce {
                process,
                revision: found,
            } => process == self.key && found >= revision && event.at_us <= due_us,
            _ => false,
        });
        let message = format!(
            "revision {revision} not in force at {} by {due_us} us",
            self.key
        );
        let violation = Violation::new(Promise::Configuration, message, &[accepted]);
        (!is_in_force).then_some(violation)
    }
}

fn check_reversions(history: &History) -> Vec<Violation> {
    let mut newest = BTreeMap::<ProcessKey, (u64, &Event)>::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let EventKind::ConfigInForce { process, revision } = event.kind else {
            continue;
        };
        match newest.get(&process) {
            Some((previous, earlier)) if *previous > revision => {
                let message = format!("{process} reverted from revision {previous} to {revision}");
                let events = [*earlier, event];
                violations.push(Violation::new(Promise::Configuration, message, &events));
            }
            _ => {
                newest.insert(process, (revision, event));
            }
        }
    }
    violations
}

/// Finds revisions in force that no operator published.
///
/// Revisions older than every accepted one existed before the run. With a swap of unknown outcome
/// nothing is reported, as that swap may have published any revision.
fn check_unpublished_revisions(history: &History) -> Vec<Violation> {
    let mut accepted = BTreeSet::new();
    let mut pending_swaps = BTreeSet::new();
    for event in history.events() {
        match event.kind {
            EventKind::SwapCalled { operation, .. } => {
                pending_swaps.insert(operation);
            }
            EventKind::SwapReturned { operation, outcome } if outcome != SwapOutcome::Unknown => {
                pending_swaps.remove(&operation);
                if let SwapOutcome::Accepted { revision } = outcome {
                    accepted.insert(revision);
                }
            }
            EventKind::ConfigAccepted { revision, .. } => {
                accepted.insert(revision);
            }
            _ => {}
        }
    }
    if !pending_swaps.is_empty() {
        return Vec::new();
    }
    let is_unpublished = |revision: u64| {
        accepted.first().is_some_and(|first| revision > *first) && !accepted.contains(&revision)
    };
    let violation = |event: &Event| match event.kind {
        EventKind::ConfigInForce { process, revision } if is_unpublished(revision) => {
            let message = format!("revision {revision} in force at {process}, but never accepted");
            Some(Violation::new(Promise::Configuration, message, &[event]))
        }
        _ => None,
    };
    history.events().iter().filter_map(violation).collect()
}

/// Checks that the operators' swaps and reads are linearizable as those of one register with
/// compare-and-swap, and that no two edits are accepted as one revision.
#[must_use]
pub fn check_config_register(history: &History, _bounds: &Bounds) -> Vec<Violation> {
    let mut violations = check_accepted_once(history);
    let (events, operations) = register_operations(history);
    if let Err(problem) = check_register(&operations) {
        violations.push(Violation::new(Promise::Configuration, problem, &events));
    }
    violations
}

fn check_accepted_once(history: &History) -> Vec<Violation> {
    let mut accepted = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let EventKind::ConfigAccepted { revision, .. } = event.kind else {
            continue;
        };
        if let Some(first) = accepted.insert(revision, event) {
            let message = format!("two edits accepted as revision {revision}");
            violations.push(Violation::new(
                Promise::Configuration,
                message,
                &[first, event],
            ));
        }
    }
    violations
}

fn register_operations(history: &History) -> (Vec<&Event>, Vec<Operation<RegisterOperation>>) {
    let mut events = Vec::new();
    let mut swaps = BTreeMap::new();
    let mut reads = BTreeMap::new();
    let mut operations = Vec::new();
    for event in history.events() {
        let operation = match event.kind {
            EventKind::SwapCalled {
                operation,
                expected_revision,
                value_digest,
                ..
            } => {
                swaps.insert(operation, (event, expected_revision, value_digest));
                None
            }
            EventKind::ReadCalled { operation, .. } => {
                reads.insert(operation, event);
                None
            }
            EventKind::SwapReturned { operation, outcome } => {
                swaps
                    .remove(&operation)
                    .map(|(call, expected_revision, value_digest)| {
                        let swap = RegisterOperation::Swap {
                            expected_revision,
                            value_digest,
                            outcome,
                        };
                        (call, swap)
                    })
            }
            EventKind::ReadReturned {
                operation,
                revision,
                value_digest,
            } => reads.remove(&operation).map(|call| {
                (
                    call,
                    RegisterOperation::Read {
                        revision,
                        value_digest,
                    },
                )
            }),
            _ => None,
        };
        if let Some((call, operation)) = operation {
            events.extend([call, event]);
            let (called, returned) = (call.sequence, event.sequence);
            operations.push(Operation {
                called,
                returned,
                operation,
            });
        }
    }
    for (call, expected_revision, value_digest) in swaps.into_values() {
        let outcome = SwapOutcome::Unknown;
        let operation = RegisterOperation::Swap {
            expected_revision,
            value_digest,
            outcome,
        };
        events.push(call);
        operations.push(Operation {
            called: call.sequence,
            returned: u64::MAX,
            operation,
        });
    }
    (events, operations)
}
