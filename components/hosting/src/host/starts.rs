//! Starts of waiting tasks.

use std::rc::Rc;

use model::{NotStartedReason, Resources, TaskRef, required_free_resources};

use super::Host;
use crate::action::TargetCall;
use crate::limits::{NO_ROOM_BACKOFF_MS, PARALLEL_POLL_MS, RESERVATION_SLACK_MS};
use crate::run::{Run, RunState};
use crate::target::{StartOutcome, StartRefusal};

impl Host {
    /// Processes the result of a start call.
    pub fn handle_start_outcome(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        outcome: StartOutcome,
        actions: &mut Vec<TargetCall>,
    ) {
        // The agent may have been suspended since it sent the start.
        self.end_unauthorized(now_ms, actions);
        let is_current = self
            .runs
            .get(&task)
            .is_some_and(|run| run.state == RunState::Starting { number });
        if is_current {
            match outcome {
                StartOutcome::Started => self.mark_running(now_ms, task, number, 0),
                StartOutcome::Unanswered => {
                    self.parallel_poll_until_ms = now_ms + PARALLEL_POLL_MS;
                    self.runs
                        .entry(task)
                        .and_modify(|run| run.has_unanswered_start = true);
                    self.repeat_start(now_ms, task, number, actions);
                }
                StartOutcome::Refused(reason) => {
                    self.handle_refused_start(now_ms, task, number, reason, actions);
                }
            }
        }
        self.tick(now_ms, actions);
    }

    /// Retries a refused start if that can help, and rejects the run otherwise.
    pub(super) fn handle_refused_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        reason: StartRefusal,
        actions: &mut Vec<TargetCall>,
    ) {
        match reason {
            StartRefusal::StaleToken => {
                self.raise_token();
                self.repeat_start(now_ms, task, number, actions);
            }
            StartRefusal::OldNumber => {
                // The last number at the target is unknown; doubling exceeds it after few attempts.
                self.record_run_number(now_ms, task, number.saturating_mul(2));
                self.repeat_start(now_ms, task, number.saturating_mul(2) + 1, actions);
            }
            StartRefusal::LeaseOver => self.repeat_start(now_ms, task, number, actions),
            StartRefusal::NoRoom => {
                self.starts_paused_until_ms = now_ms + NO_ROOM_BACKOFF_MS;
                self.resolve_refused_start(now_ms, task, NotStartedReason::NoRoom, actions);
            }
            StartRefusal::Malformed => {
                self.resolve_refused_start(now_ms, task, NotStartedReason::Malformed, actions);
            }
            StartRefusal::OtherIncarnation => self.reject(task, NotStartedReason::NoTarget),
            StartRefusal::Unhealthy => {
                self.health.failed(now_ms, task.job);
                self.resolve_refused_start(now_ms, task, NotStartedReason::NoTarget, actions);
            }
        }
    }

    /// Rejects a run whose start was refused, unless the target may still execute an earlier copy
    /// of the start: then a stop has to prevent that first.
    pub(super) fn resolve_refused_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        reason: NotStartedReason,
        actions: &mut Vec<TargetCall>,
    ) {
        if self
            .runs
            .get(&task)
            .is_some_and(|run| run.has_unanswered_start)
        {
            self.send_stop(now_ms, task, None, actions);
        } else {
            self.reject(task, reason);
        }
    }

    /// Sends a start with a new lease; rejects the run if the clock of the target is unknown.
    pub(super) fn send_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        actions: &mut Vec<TargetCall>,
    ) {
        let Some(lease_end_ms) = self.lease.grant(now_ms) else {
            self.reject(task, NotStartedReason::NoTarget);
            return;
        };
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Starting { number };
        actions.push(TargetCall::Start {
            task,
            number,
            specification: Rc::clone(&run.specification),
            lease_end_ms,
            token: self.token,
        });
    }

    /// Starts waiting tasks in the order of [`QueuePosition`], as far as they fit.
    pub(super) fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        if self.is_evacuated || now_ms < self.starts_paused_until_ms {
            return;
        }
        let Some(target) = self.usable_target(now_ms) else {
            return;
        };
        if target.is_draining {
            return;
        }
        let capacity = target.capacity;
        let mut free = capacity.saturating_sub(&self.used_resources());
        let has_single_slot = self.health.is_on_probation();
        for task in self.waiting_tasks(now_ms) {
            let run = &self.runs[&task];
            let needs = run.needs;
            let is_blocked_by_probation =
                has_single_slot && self.runs.values().any(Run::occupies_resources);
            if is_blocked_by_probation || !free.can_fit(&required_resources(run, now_ms, &capacity))
            {
                continue;
            }
            let last = self
                .last_run_numbers
                .get(&task)
                .map_or(0, |last| last.number);
            free = free.saturating_sub(&needs);
            self.send_start(now_ms, task, last + 1, actions);
        }
    }
}

/// Returns the resources that must be free for a waiting task to start; more than it needs if some
/// are reserved for urgent tasks.
pub(super) fn required_resources(run: &Run, now_ms: u64, capacity: &Resources) -> Resources {
    if run.has_started_tasks || run.start_by_ms <= now_ms + RESERVATION_SLACK_MS {
        return run.needs;
    }
    required_free_resources(&run.needs, run.priority, capacity)
}
