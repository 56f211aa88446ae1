//! Starts of waiting tasks.

use std::rc::Rc;

use model::{NotStartedReason, Resources, RunEnd, TaskRef, required_free_resources};

use super::Host;
use crate::action::TargetCall;
use crate::limits::{
    IMMEDIATE_AFTER_FAILURE, IMMEDIATE_AFTER_REFUSAL, IMMEDIATE_AFTER_TIMEOUT, NO_ROOM_BACKOFF_MS,
    PARALLEL_POLL_MS, RESERVATION_SLACK_MS, TARGET_CALL_TIMEOUT_MS,
};
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
        if outcome == StartOutcome::Inconclusive {
            self.record_broken_call(now_ms);
        }
        if outcome == StartOutcome::NobodyListens {
            self.record_broken_call(now_ms);
            self.is_target_gone = true;
            self.reject_waiting(NotStartedReason::NoTarget);
        }
        let called = RunState::Starting {
            number,
            repeat_at_ms: None,
        };
        let is_current = self.runs.get(&task).is_some_and(|run| run.state == called);
        if is_current {
            match outcome {
                StartOutcome::Started => self.mark_running(now_ms, task, number, 0),
                StartOutcome::NobodyListens => {
                    self.give_up_start(now_ms, task, NotStartedReason::NoTarget, actions);
                }
                StartOutcome::Inconclusive => {
                    self.record_inconclusive_start(now_ms, task);
                    self.doubt.record_failure(now_ms, now_ms);
                    self.repeat_start(now_ms, task, number, IMMEDIATE_AFTER_FAILURE, actions);
                }
                StartOutcome::Unanswered => {
                    self.record_inconclusive_start(now_ms, task);
                    self.record_unanswered_start(task);
                    let sent_at_ms = now_ms.saturating_sub(TARGET_CALL_TIMEOUT_MS);
                    self.doubt.record_failure(now_ms, sent_at_ms);
                    self.repeat_start(now_ms, task, number, IMMEDIATE_AFTER_TIMEOUT, actions);
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
                self.repeat_start(now_ms, task, number, IMMEDIATE_AFTER_REFUSAL, actions);
            }
            // The run with this number may be the one that an earlier copy of the start began, and a
            // higher number would run the task again.
            StartRefusal::OldNumber if number == u32::MAX || self.may_have_arrived(task) => {
                self.give_up_start(now_ms, task, NotStartedReason::NoTarget, actions);
            }
            StartRefusal::OldNumber => {
                // The last number at the target is unknown; doubling exceeds it after few attempts.
                let last = number.saturating_mul(2);
                self.record_run_number(now_ms, task, last);
                let next = last.saturating_add(1);
                self.repeat_start(now_ms, task, next, IMMEDIATE_AFTER_REFUSAL, actions);
            }
            StartRefusal::LeaseOver => {
                self.repeat_start(now_ms, task, number, IMMEDIATE_AFTER_REFUSAL, actions);
            }
            StartRefusal::NoRoom => {
                self.starts_paused_until_ms = now_ms + NO_ROOM_BACKOFF_MS;
                self.give_up_start(now_ms, task, NotStartedReason::NoRoom, actions);
            }
            StartRefusal::Malformed => {
                self.give_up_start(now_ms, task, NotStartedReason::Malformed, actions);
            }
            // An earlier copy may have begun a run that ended with the earlier incarnation.
            StartRefusal::OtherIncarnation if self.may_have_arrived(task) => {
                self.remove_ended(now_ms, task, RunEnd::Lost);
            }
            StartRefusal::OtherIncarnation => self.reject(task, NotStartedReason::NoTarget),
            StartRefusal::Unhealthy => {
                self.health.failed(now_ms, task.job);
                self.give_up_start(now_ms, task, NotStartedReason::NoTarget, actions);
            }
        }
    }

    /// Gives up the start of a run: rejects the run, or sends a stop if a copy of the start may have
    /// arrived.
    pub(super) fn give_up_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        reason: NotStartedReason,
        actions: &mut Vec<TargetCall>,
    ) {
        if self.may_have_arrived(task) {
            self.send_stop(now_ms, task, None, actions);
        } else {
            self.reject(task, reason);
        }
    }

    /// Returns whether a copy of a run's start may have arrived at the target.
    fn may_have_arrived(&self, task: TaskRef) -> bool {
        let run = self.runs.get(&task);
        run.is_some_and(|run| run.may_have_arrived)
    }

    /// Records that a copy of a run's start may have arrived, since it had no conclusive answer.
    fn record_inconclusive_start(&mut self, now_ms: u64, task: TaskRef) {
        self.parallel_poll_until_ms = now_ms + PARALLEL_POLL_MS;
        if let Some(run) = self.runs.get_mut(&task) {
            run.may_have_arrived = true;
        }
    }

    /// Records that a copy of a run's start timed out. Unlike one whose connection broke, it does not end
    /// with the process of the target.
    fn record_unanswered_start(&mut self, task: TaskRef) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.has_unanswered_start = true;
        }
    }

    /// Returns why no start may be repeated, if that is so.
    fn obstacle_to_repeats(&self) -> Option<NotStartedReason> {
        if self.is_evacuated {
            return Some(NotStartedReason::Evacuated);
        }
        if self.is_target_gone {
            return Some(NotStartedReason::NoTarget);
        }
        let is_draining = self
            .target
            .as_ref()
            .is_some_and(|target| target.is_draining);
        is_draining.then_some(NotStartedReason::Draining)
    }

    /// Sends a start again, the first `immediate` times at once and then after growing pauses; without
    /// a target, in doubt about it, or while the lease may not be renewed, it waits for
    /// [`Self::repeat_starts`].
    fn repeat_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        immediate: u32,
        actions: &mut Vec<TargetCall>,
    ) {
        if self.is_evacuated {
            self.give_up_start(now_ms, task, NotStartedReason::Evacuated, actions);
            return;
        }
        let may_send =
            self.target.is_some() && !self.doubt.is_present() && !self.has_overdue_run(now_ms);
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        match run.repeats.next_start_ms(now_ms, immediate) {
            Some(at_ms) if at_ms <= now_ms && may_send => {
                self.send_start(now_ms, task, number, actions);
            }
            repeat_at_ms @ Some(_) => {
                run.state = RunState::Starting {
                    number,
                    repeat_at_ms,
                };
            }
            None => self.give_up_start(now_ms, task, NotStartedReason::NoTarget, actions),
        }
    }

    /// Sends the starts again whose pause is over; a draining, leaving or evacuated target gets none,
    /// since it may not have received an earlier copy. Without a target they wait for its report, which
    /// resolves them if it is a new incarnation. While a run is overdue they wait for its end, and in doubt
    /// about the target for its answer.
    pub(super) fn repeat_starts(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        if self.target.is_none() {
            return;
        }
        let obstacle = self.obstacle_to_repeats();
        if obstacle.is_none() && (self.has_overdue_run(now_ms) || self.doubt.is_present()) {
            return;
        }
        let due: Vec<(TaskRef, u32)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.state {
                RunState::Starting {
                    number,
                    repeat_at_ms: Some(at_ms),
                } if at_ms <= now_ms => Some((*task, number)),
                _ => None,
            })
            .collect();
        for (task, number) in due {
            match obstacle {
                Some(reason) => self.give_up_start(now_ms, task, reason, actions),
                None => self.send_start(now_ms, task, number, actions),
            }
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
        let (Some(instance), Some(lease_end_ms)) = (self.instance(), self.lease.grant(now_ms))
        else {
            self.give_up_start(now_ms, task, NotStartedReason::NoTarget, actions);
            return;
        };
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Starting {
            number,
            repeat_at_ms: None,
        };
        actions.push(TargetCall::Start {
            instance,
            task,
            number,
            specification: Rc::clone(&run.specification),
            lease_end_ms,
            token: self.token,
        });
    }

    /// Starts waiting tasks in the order of [`QueuePosition`], as far as they fit; none while a run is
    /// overdue, since a start renews the lease, or in doubt about the target.
    pub(super) fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        let is_paused = now_ms < self.starts_paused_until_ms || self.doubt.is_present();
        if self.is_evacuated || is_paused || self.has_overdue_run(now_ms) {
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
            self.send_start(now_ms, task, last.saturating_add(1), actions);
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
