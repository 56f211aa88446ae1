//! Targets that leave.

use std::collections::BTreeMap;

use crate::check::{Bounds, Promise, Violation};
use crate::event::EventKind;
use crate::history::History;

/// Checks that a target gets no new work once the bound after its leave has passed, until it
/// announces itself again.
#[must_use]
pub fn check_leaving_target(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let mut leaving = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::TargetLeaving(agent) => {
                leaving.entry(*agent).or_insert(event);
            }
            EventKind::TargetAnnounced(agent) => {
                leaving.remove(agent);
            }
            EventKind::TaskStarted(start) => {
                let Some(left) = leaving.get(&start.agent) else {
                    continue;
                };
                if event.at_us > left.at_us + bounds.leaving_us {
                    let message = format!("target of agent {} got new work", start.agent);
                    let events = [*left, event];
                    violations.push(Violation::new(Promise::LeavingTarget, message, &events));
                }
            }
            _ => {}
        }
    }
    violations
}
