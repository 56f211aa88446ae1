//! Checker for targets that leave.

use std::collections::BTreeMap;

use crate::check::{Bounds, Promise, Violation};
use crate::event::EventKind;
use crate::history::History;

/// Checks that a target starts no task later than the bound after it announced that it leaves,
/// until it announces itself again.
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
                    let message = format!(
                        "target of agent {} started a task after it left",
                        start.agent
                    );
                    let events = [*left, event];
                    violations.push(Violation::new(Promise::LeavingTarget, message, &events));
                }
            }
            _ => {}
        }
    }
    violations
}
