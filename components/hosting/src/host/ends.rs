//! Stops of runs, and removal of ended and rejected ones.

use std::rc::Rc;

use model::{NotStartedReason, RunDurations, RunEnd, RunEvent, TaskRef};

use super::Host;
use crate::action::TargetCall;
use crate::limits::STOP_MS;
use crate::repeats::Repeats;
use crate::run::{Run, RunState};

impl Host {
    /// Processes the acceptance of a stop: the run has ended or will within the target's stop time,
    /// and the target refuses a start that is still on the way.
    pub fn stop_accepted(&mut self, now_ms: u64, task: TaskRef, accepted_number: u32) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if let RunState::Stopping {
            number,
            accepted_at_ms,
            retry_at_ms,
            ..
        } = &mut run.state
            && *number == accepted_number
        {
            accepted_at_ms.get_or_insert(now_ms);
            *retry_at_ms = (*retry_at_ms).max(now_ms + STOP_MS);
        }
    }

    /// Sends a stop, also to a stopping run if that must end by a given time; does nothing if no
    /// start was sent. The earliest time by which a run must end stays in force.
    pub(super) fn send_stop(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        must_end_by_ms: Option<u64>,
        actions: &mut Vec<TargetCall>,
    ) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let is_stopping = matches!(run.state, RunState::Stopping { .. });
        if is_stopping && must_end_by_ms.is_none() {
            return;
        }
        let present_ms = run.must_end_by_ms();
        let must_end_by_ms = present_ms.into_iter().chain(must_end_by_ms).min();
        self.begin_stop(now_ms, task, self.instance(), must_end_by_ms, actions);
    }

    /// Sends a stop to the target with this instance name, or to the one that answers, and repeats it
    /// until it has been accepted; does nothing if no start was sent.
    pub(super) fn begin_stop(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        instance: Option<Rc<str>>,
        must_end_by_ms: Option<u64>,
        actions: &mut Vec<TargetCall>,
    ) {
        let seed = self.jitter_seed(task);
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let Some(number) = run.number() else {
            return;
        };
        run.repeats = Repeats::of_stop(seed);
        run.state = RunState::Stopping {
            number,
            retry_at_ms: run.repeats.next_stop_ms(now_ms, must_end_by_ms),
            accepted_at_ms: None,
            must_end_by_ms,
        };
        actions.push(TargetCall::Stop {
            instance,
            task,
            number,
            token: self.token,
        });
    }

    /// Returns the instance name of the target, if it has reported.
    pub(super) fn instance(&self) -> Option<Rc<str>> {
        let target = self.target.as_ref();
        target.map(|target| Rc::clone(&target.instance))
    }

    /// Returns whether a run that had to end may still be running. Until it has ended, neither a poll
    /// nor a start may renew the lease, which covers all runs at the target.
    pub(super) fn has_overdue_run(&self, now_ms: u64) -> bool {
        self.runs.values().any(|run| {
            matches!(run.state, RunState::Stopping { must_end_by_ms: Some(by_ms), .. }
                if by_ms <= now_ms)
        })
    }

    /// Repeats the stops of runs that have not ended.
    pub(super) fn retry_stops(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        let instance = self.instance();
        let is_target_gone = self.is_target_gone;
        let is_held = |run: &Run| is_target_gone && run.crash_end.is_some();
        for run in self.runs.values_mut().filter(|run| !is_held(run)) {
            if let RunState::Stopping {
                number,
                retry_at_ms,
                must_end_by_ms,
                ..
            } = &mut run.state
                && *retry_at_ms <= now_ms
            {
                *retry_at_ms = run.repeats.next_stop_ms(now_ms, *must_end_by_ms);
                actions.push(TargetCall::Stop {
                    instance: instance.clone(),
                    task: run.id.task,
                    number: *number,
                    token: self.token,
                });
            }
        }
    }

    /// Rejects the runs that have waited beyond their queue deadline.
    pub(super) fn reject_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(run.state, RunState::Waiting { queue_deadline_ms }
                    if queue_deadline_ms <= now_ms)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in overdue {
            self.reject(task, NotStartedReason::NoRoom);
        }
    }

    /// Rejects all waiting runs.
    pub(super) fn reject_waiting(&mut self, reason: NotStartedReason) {
        let waiting: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies_resources())
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            self.reject(task, reason);
        }
    }

    /// Removes a run that has not started and never will, and reports that to its entry.
    pub(super) fn reject(&mut self, task: TaskRef, reason: NotStartedReason) {
        if let Some(run) = self.runs.remove(&task) {
            self.count_rejection(reason);
            self.push_event(run.owner, run.id, RunEvent::NotStarted(reason));
        }
    }

    /// Removes a run that has ended, and reports that to its entry.
    pub(super) fn remove_ended(&mut self, now_ms: u64, task: TaskRef, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        if let Some(number) = run.number() {
            self.record_run_number(now_ms, task, number);
        }
        let end = match (end, run.crash_end) {
            (RunEnd::Stopped | RunEnd::Lost, Some(crash_end)) => crash_end,
            _ => end,
        };
        let started_at_ms = match run.state {
            RunState::Running { started_at_ms, .. } => started_at_ms,
            _ => run.ordered_at_ms,
        };
        let durations = RunDurations {
            waited_ms: saturating_u32(started_at_ms.saturating_sub(run.ordered_at_ms)),
            ran_ms: saturating_u32(now_ms.saturating_sub(started_at_ms)),
            was_host_busy: run.was_host_busy,
        };
        self.record_neighbors_at_end(now_ms, run.exposure_start.as_ref());
        self.push_event(run.owner, run.id, RunEvent::Ended(end, durations));
    }
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
