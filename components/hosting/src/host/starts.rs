//! Starts of waiting tasks.

use std::rc::Rc;

use model::{NotStarted, Resources, TaskRef, wanted_room};

use super::Host;
use crate::action::HostAction;
use crate::limits::{DOUBT_MS, RESERVE_SLACK_MS, ROOM_PAUSE_MS};
use crate::queue::Turn;
use crate::run::{Run, RunState};
use crate::target::{StartOutcome, StartRefusal};

impl Host {
    /// Takes the result of a start.
    pub fn started(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        outcome: StartOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        // The agent may have stood still since it sent the start.
        self.expire(now_ms, actions);
        let is_current = self
            .runs
            .get(&task)
            .is_some_and(|run| run.state == RunState::Starting { number });
        if is_current {
            match outcome {
                StartOutcome::Started => self.mark_running(now_ms, task, number, 0),
                StartOutcome::Unanswered => {
                    self.in_doubt_until_ms = now_ms + DOUBT_MS;
                    self.runs
                        .entry(task)
                        .and_modify(|run| run.is_doubtful = true);
                    self.send_start(now_ms, task, number, actions);
                }
                StartOutcome::Refused(why) => {
                    self.start_refused(now_ms, task, number, why, actions);
                }
            }
        }
        self.tick(now_ms, actions);
    }

    pub(super) fn start_refused(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        why: StartRefusal,
        actions: &mut Vec<HostAction>,
    ) {
        match why {
            StartRefusal::StaleToken => {
                self.raise_token();
                self.send_start(now_ms, task, number, actions);
            }
            StartRefusal::OldNumber => {
                self.note_number(now_ms, task, number.saturating_mul(2));
                self.send_start(now_ms, task, number.saturating_mul(2) + 1, actions);
            }
            StartRefusal::LeaseOver => self.send_start(now_ms, task, number, actions),
            StartRefusal::NoRoom => {
                self.no_room_until_ms = now_ms + ROOM_PAUSE_MS;
                self.settle_refused(now_ms, task, NotStarted::NoRoom, actions);
            }
            StartRefusal::Malformed => {
                self.settle_refused(now_ms, task, NotStarted::Malformed, actions);
            }
            StartRefusal::OtherIncarnation => self.give_back(task, NotStarted::NoTarget),
            StartRefusal::Unhealthy => {
                self.health.failed(now_ms, task.job);
                self.settle_refused(now_ms, task, NotStarted::NoTarget, actions);
            }
        }
    }

    /// Gives a refused start back, unless an earlier copy of it may still be carried out: then a
    /// stop has to rule that out first.
    fn settle_refused(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        why: NotStarted,
        actions: &mut Vec<HostAction>,
    ) {
        if self.runs.get(&task).is_some_and(|run| run.is_doubtful) {
            self.send_stop(now_ms, task, None, actions);
        } else {
            self.give_back(task, why);
        }
    }

    pub(super) fn send_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(lease_end_ms) = self.lease.grant(now_ms) else {
            self.give_back(task, NotStarted::NoTarget);
            return;
        };
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Starting { number };
        actions.push(HostAction::Start {
            task,
            number,
            specification: Rc::clone(&run.specification),
            lease_end_ms,
            token: self.token,
        });
    }

    /// Starts waiting tasks in the order of their turn, as far as they fit.
    pub(super) fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        if now_ms < self.no_room_until_ms || self.is_stopping {
            return;
        }
        let Some(target) = self.usable_target(now_ms) else {
            return;
        };
        if target.is_draining {
            return;
        }
        let capacity = target.capacity;
        let mut free = capacity.without(&self.used());
        let is_single = self.health.is_on_probation();
        let mut waiting: Vec<(Turn, TaskRef)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies())
            .map(|(task, run)| (Turn::of(run, now_ms), *task))
            .collect();
        waiting.sort_unstable();
        for (_, task) in waiting {
            let run = &self.runs[&task];
            let needs = run.needs;
            let is_held_back = is_single && self.runs.values().any(Run::occupies);
            if is_held_back || !free.holds(&room_for(run, now_ms, &capacity)) {
                continue;
            }
            let last = self.numbers.get(&task).map_or(0, |last| last.number);
            free = free.without(&needs);
            self.send_start(now_ms, task, last + 1, actions);
        }
    }
}

/// Returns the room that has to be free for a waiting task to start.
fn room_for(run: &Run, now_ms: u64, capacity: &Resources) -> Resources {
    if run.is_begun || run.start_by_ms <= now_ms + RESERVE_SLACK_MS {
        return run.needs;
    }
    wanted_room(&run.needs, run.priority, capacity)
}
