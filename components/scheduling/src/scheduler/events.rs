//! Handling of the run events that agents report.

use std::rc::Rc;

use model::{NotStartedReason, RunEnd, RunEvent, RunId};

use super::{Scheduler, SchedulerAction};
use crate::host::HostSlot;
use crate::job::{JobSlot, TaskState};
use crate::limits::{OCCUPIED_RETRY_MS, PLACEMENT_RETRY_MS};
use crate::verdict::Verdict;

impl Scheduler {
    pub(super) fn handle_run_event(
        &mut self,
        now_ms: u64,
        host: HostSlot,
        run: RunId,
        event: RunEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(&slot) = self.by_id.get(&run.task.job) else {
            self.stop_obsolete_run(host, run, event, actions);
            return;
        };
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let age_ms = now_ms.saturating_sub(job.arrived_ms);
        if job
            .current_run(run)
            .is_none_or(|(_, place)| place.host != host)
        {
            self.stop_obsolete_run(host, run, event, actions);
            return;
        }
        actions.push(SchedulerAction::LogRunEvent {
            run,
            host: self
                .hosts
                .get(host)
                .map_or_else(|| Rc::from(""), |host| Rc::clone(&host.info.name)),
            age_ms,
            event,
        });
        match event {
            RunEvent::Started => self.mark_started(slot, run),
            RunEvent::Ended(RunEnd::Done, durations) => {
                self.record_run(slot, run, durations, actions);
                self.handle_done(now_ms, slot, run, actions);
            }
            RunEvent::Ended(RunEnd::Failed, _) => self.handle_failed(now_ms, slot, run, actions),
            RunEvent::Ended(
                end @ (RunEnd::Crashed | RunEnd::CrashedAtStart | RunEnd::CausedCrash),
                _,
            ) => {
                self.handle_crash(now_ms, slot, run, end, actions);
            }
            RunEvent::Ended(RunEnd::Stopped | RunEnd::Lost, _) => {
                // A lost run may not have started; it counts as started.
                self.mark_started(slot, run);
                self.requeue_task(now_ms, slot, run, now_ms, actions);
            }
            RunEvent::NotStarted(NotStartedReason::Malformed) => {
                self.answer(now_ms, slot, Verdict::Failed, actions);
            }
            RunEvent::NotStarted(reason) => {
                self.handle_not_started(now_ms, slot, run, reason, actions);
            }
            RunEvent::Stalled => self.stop_stalled_run(now_ms, slot, run, actions),
        }
    }

    /// Stops a run that belongs to no job, or that is not the latest run of its task.
    pub(super) fn stop_obsolete_run(
        &mut self,
        host: HostSlot,
        run: RunId,
        event: RunEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if matches!(event, RunEvent::Started | RunEvent::Stalled)
            && let Some(record) = self.hosts.get_mut(host)
        {
            record.push_stop(run);
            actions.push(SchedulerAction::SendOrders(host));
        }
    }

    pub(super) fn mark_started(&mut self, slot: JobSlot, run: RunId) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_started_tasks = true;
        if let Some((task, mut place)) = job.current_run(run) {
            place.has_started = true;
            task.state = TaskState::Placed(place);
        }
    }

    pub(super) fn handle_done(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_started_tasks = true;
        if let Some((task, _)) = job.current_run(run) {
            task.state = TaskState::Done;
        }
        if job.is_done() {
            self.answer(now_ms, slot, Verdict::Completed, actions);
        } else {
            self.finish_withdrawal(now_ms, slot, actions);
            self.place_due_tasks(now_ms, slot, actions);
        }
    }

    pub(super) fn handle_failed(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.has_started_tasks = true;
        let max_failures = job.request.queue.max_failures;
        let Some((task, _)) = job.current_run(run) else {
            return;
        };
        task.failures += 1;
        if task.failures >= max_failures.max(1) {
            self.answer(now_ms, slot, Verdict::Failed, actions);
            return;
        }
        self.requeue_task(now_ms, slot, run, now_ms, actions);
    }

    pub(super) fn handle_not_started(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        reason: NotStartedReason,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let pause_ms = match reason {
            NotStartedReason::Occupied => OCCUPIED_RETRY_MS,
            NotStartedReason::NoTarget | NotStartedReason::PermitExpired => PLACEMENT_RETRY_MS,
            NotStartedReason::NoRoom
            | NotStartedReason::Draining
            | NotStartedReason::Evacuated
            | NotStartedReason::Malformed
            | NotStartedReason::Withdrawn => 0,
        };
        self.requeue_task(now_ms, slot, run, now_ms + pause_ms, actions);
    }

    /// Returns the task of a run to the waiting state and retries its placement. The host is
    /// avoided if the run had started there.
    pub(super) fn requeue_task(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        not_before_ms: u64,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        if let Some((task, place)) = job.current_run(run) {
            task.state = TaskState::Waiting { not_before_ms };
            if place.has_started && !task.avoided_hosts.contains(&place.host) {
                task.avoided_hosts.push(place.host);
            }
        }
        self.finish_withdrawal(now_ms, slot, actions);
        self.retry_placement(now_ms, slot, actions);
    }

    /// Stops a run without progress, so that the task can run on another host, if the time left
    /// suffices for that.
    pub(super) fn stop_stalled_run(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let time_left_ms = job.deadline_ms.saturating_sub(now_ms);
        if time_left_ms < job.forecast(run.task.step).work_ms as u64 {
            return;
        }
        let Some((_, place)) = job.current_run(run) else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(place.host) {
            host.push_stop(run);
            actions.push(SchedulerAction::SendOrders(place.host));
        }
    }
}
