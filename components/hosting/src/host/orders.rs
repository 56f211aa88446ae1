//! Orders of entries: which are accepted, and which runs end because their entry lost its
//! authority, that is, sent no valid permit in time.

use std::rc::Rc;

use model::{NotStartedReason, ProcessKey, RunEvent, RunId, RunPermit, StartOrder, TaskRef};

use super::Host;
use crate::action::TargetCall;
use crate::limits::{MAX_RUNS, STOP_CONFIRM_MS, URGENT_STOP_RETRY_MS, WITHDRAWAL_CONFIRM_MS};
use crate::repeats::Repeats;
use crate::run::{Run, RunState};
use crate::session::Session;

impl Host {
    /// Queues the tasks of an order as waiting runs.
    ///
    /// Reports to the entry the tasks that are rejected, with `refusal` as the reason if there is one,
    /// and those of which another run exists.
    pub(super) fn accept_order(
        &mut self,
        now_ms: u64,
        from: ProcessKey,
        order: &StartOrder,
        refusal: Option<NotStartedReason>,
        actions: &mut Vec<TargetCall>,
    ) {
        for &(index, attempt) in &order.tasks {
            let task = TaskRef {
                job: order.job,
                step: order.step,
                index,
            };
            let id = RunId { task, attempt };
            if let Some(present) = self.runs.get(&task) {
                // The events of the present run answer a repeated order.
                let is_repeated = present.owner == from && present.id == id;
                if !is_repeated {
                    self.push_event(from, id, RunEvent::NotStarted(NotStartedReason::Occupied));
                    self.end_replaced(now_ms, task, from, actions);
                }
                continue;
            }
            let reason = refusal.or_else(|| self.rejection_reason(now_ms, order));
            if let Some(reason) = reason {
                self.count_rejection(reason);
                self.push_event(from, id, RunEvent::NotStarted(reason));
                continue;
            }
            let run = Run {
                id,
                owner: from,
                specification: Rc::clone(&order.specification),
                needs: order.needs,
                estimate_ms: order.estimate_ms.max(1),
                log_deviation: f64::from(order.log_deviation_permille) / 1_000.0,
                sampled_weight: 0.0,
                start_by_ms: now_ms + u64::from(order.slack_ms),
                priority: order.priority,
                has_started_tasks: order.has_started_tasks,
                may_have_arrived: false,
                has_unanswered_start: false,
                crash_end: None,
                repeats: Repeats::of_start(self.jitter_seed(task)),
                ordered_at_ms: now_ms,
                kind: order.kind,
                is_data_remote: order.is_data_remote,
                was_host_busy: false,
                exposure_start: None,
                state: RunState::Waiting {
                    queue_deadline_ms: now_ms + u64::from(order.queue_timeout_ms),
                },
            };
            self.runs.insert(task, run);
        }
    }

    /// Returns the reason to reject an order, if there is one.
    pub(super) fn rejection_reason(
        &self,
        now_ms: u64,
        order: &StartOrder,
    ) -> Option<NotStartedReason> {
        if self.is_evacuated {
            return Some(NotStartedReason::Evacuated);
        }
        let Some(target) = self.usable_target(now_ms) else {
            return Some(NotStartedReason::NoTarget);
        };
        if target.is_draining || !self.can_end(now_ms, order.estimate_ms) {
            return Some(NotStartedReason::Draining);
        }
        let is_full = self.runs.len() >= MAX_RUNS || !target.capacity.can_fit(&order.needs);
        is_full.then_some(NotStartedReason::NoRoom)
    }

    /// Returns whether the tasks of an order were placed by the labels and the capacity of the present
    /// target, and not of an earlier incarnation. Entries that do not tell have a permit that is as
    /// old as their view at the most.
    pub(super) fn is_placed_at_target(
        &self,
        order: &StartOrder,
        permit: Option<RunPermit>,
    ) -> bool {
        match order.target_number {
            Some(number) => number == self.target_number,
            None => permit.is_some_and(|permit| permit.issued_ms >= self.target_since_ms),
        }
    }

    /// Ends a run whose job was sent again by the caller at another entry.
    pub(super) fn end_replaced(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        newer_owner: ProcessKey,
        actions: &mut Vec<TargetCall>,
    ) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if run.owner == newer_owner {
            return;
        }
        if run.occupies_resources() {
            self.send_stop(now_ms, task, Some(now_ms + STOP_CONFIRM_MS), actions);
        } else {
            self.reject(task, NotStartedReason::Occupied);
        }
    }

    /// Ends a run that its entry withdraws. The entry may have answered the caller, who sends the job
    /// again, so that the run must end within [`WITHDRAWAL_CONFIRM_MS`].
    pub(super) fn withdraw(&mut self, now_ms: u64, id: RunId, actions: &mut Vec<TargetCall>) {
        let Some(run) = self.runs.get(&id.task) else {
            return;
        };
        if run.id != id {
            return;
        }
        if run.occupies_resources() {
            let must_end_by_ms = now_ms + WITHDRAWAL_CONFIRM_MS;
            self.send_stop(now_ms, id.task, Some(must_end_by_ms), actions);
        } else {
            self.reject(id.task, NotStartedReason::Withdrawn);
        }
    }

    /// Ends the runs of entries that have lost their authority; those at the target must end within
    /// [`STOP_CONFIRM_MS`] from then, since another entry may start their tasks elsewhere.
    pub(super) fn end_unauthorized(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        let sessions = &self.sessions;
        let lost_at_ms = |run: &Run| {
            let session = sessions.get(&run.owner);
            let has_authority = session.is_some_and(|session| session.has_authority(now_ms));
            let until_ms = session.map_or(now_ms, Session::authority_until_ms);
            (!has_authority).then_some(until_ms.min(now_ms))
        };
        let lost: Vec<(TaskRef, u64)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| lost_at_ms(run).map(|at_ms| (*task, at_ms)))
            .collect();
        for (task, lost_at_ms) in lost {
            let must_end_by_ms = lost_at_ms + STOP_CONFIRM_MS;
            let seed = self.jitter_seed(task);
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            match &mut run.state {
                RunState::Waiting { .. } => self.reject(task, NotStartedReason::PermitExpired),
                RunState::Stopping {
                    must_end_by_ms: by_ms @ None,
                    retry_at_ms,
                    ..
                } => {
                    *by_ms = Some(must_end_by_ms);
                    *retry_at_ms = (*retry_at_ms).min(now_ms + URGENT_STOP_RETRY_MS);
                    // The stop may have been repeated so often that its pauses have grown.
                    run.repeats = Repeats::of_stop(seed);
                }
                RunState::Stopping { .. } => {}
                _ => self.send_stop(now_ms, task, Some(must_end_by_ms), actions),
            }
        }
    }
}
