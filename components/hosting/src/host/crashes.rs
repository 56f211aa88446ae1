//! Crashes of the target, and the runs that may have caused them.
//!
//! Handles tasks that crash each target that starts them: on a busy host a dozen runs are lost with the
//! target, and the age of a run at the crash tells which of them may be the cause.

use std::collections::BTreeSet;

use model::{JobId, RunEnd, TaskRef};

use super::Host;
use crate::action::TargetCall;
use crate::incarnation::Incarnation;
use crate::limits::SUSPECT_AGE_MS;
use crate::run::{Run, RunState};

impl Host {
    /// Records that a call of the target broke off, as it does when the target crashes.
    pub(super) fn record_broken_call(&mut self, now_ms: u64) {
        self.first_broken_call_ms.get_or_insert(now_ms);
    }

    /// Ends all runs at a target that is gone, but for those that its next incarnation may start: as
    /// crashed, unless the target had announced its end.
    pub(super) fn end_all_with_target(&mut self, now_ms: u64) {
        for (task, end) in self.crash_ends(now_ms) {
            self.end_or_hold(now_ms, task, end);
        }
    }

    /// Ends a run at a target that does not answer. A run of which a start is on the way is held instead,
    /// since the next incarnation may execute it, until that has refused it; see
    /// [`Self::stop_at_next_incarnation`].
    pub(super) fn end_or_hold(&mut self, now_ms: u64, task: TaskRef, end: RunEnd) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let is_call_in_progress = matches!(
            run.state,
            RunState::Starting {
                repeat_at_ms: None,
                ..
            }
        );
        if !is_call_in_progress && !run.has_unanswered_start {
            self.remove_ended(now_ms, task, end);
            return;
        }
        run.crash_end.get_or_insert(end);
        let is_stopping = matches!(run.state, RunState::Stopping { .. });
        if let Some(number) = run.number()
            && !is_call_in_progress
            && !is_stopping
        {
            run.state = RunState::Stopping {
                number,
                retry_at_ms: now_ms,
                accepted_at_ms: None,
                must_end_by_ms: None,
            };
        }
    }

    /// Ends the runs of an incarnation of the target that is over, since another one answers. Runs
    /// that the next one may have started are stopped there first.
    pub(super) fn end_with_incarnation(
        &mut self,
        now_ms: u64,
        previous: &Incarnation,
        actions: &mut Vec<TargetCall>,
    ) {
        let last_answer_at_ms = self.last_answer_at_ms;
        for (task, end) in self.crash_ends(last_answer_at_ms) {
            let is_over = self
                .runs
                .get(&task)
                .is_some_and(|run| was_started_by(run, previous));
            if is_over {
                self.remove_ended(last_answer_at_ms, task, end);
            } else {
                self.stop_at_next_incarnation(now_ms, task, end, actions);
            }
        }
    }

    /// Sends a stop to an incarnation of the target that may have executed a start meant for the
    /// previous one; nothing in a start tells incarnations with the same instance name apart.
    fn stop_at_next_incarnation(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        end: RunEnd,
        actions: &mut Vec<TargetCall>,
    ) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.crash_end.get_or_insert(end);
        let must_end_by_ms = run.must_end_by_ms();
        self.begin_stop(now_ms, task, None, must_end_by_ms, actions);
    }

    /// Returns whether a run that may be at the next incarnation of the target has not been confirmed
    /// there as ended.
    pub(super) fn has_unconfirmed_end(&self) -> bool {
        self.runs.values().any(|run| run.crash_end.is_some())
    }

    /// Returns how each run at the target ends if the target has crashed.
    fn crash_ends(&self, now_ms: u64) -> Vec<(TaskRef, RunEnd)> {
        let is_expected = self.has_target_left
            || self
                .target
                .as_ref()
                .is_some_and(|target| target.is_draining);
        let crashed_at_ms = self.first_broken_call_ms.unwrap_or(now_ms);
        let at_target = || self.runs.iter().filter(|(_, run)| run.occupies_resources());
        let suspects = at_target().filter(|(_, run)| is_suspect(run, crashed_at_ms));
        let suspect_jobs: BTreeSet<JobId> = suspects.map(|(task, _)| task.job).collect();
        at_target()
            .map(|(task, run)| {
                let end = if is_expected {
                    RunEnd::Lost
                } else if !is_suspect(run, crashed_at_ms) {
                    RunEnd::Crashed
                } else if suspect_jobs.len() > 1 {
                    RunEnd::CrashedAtStart
                } else {
                    RunEnd::CausedCrash
                };
                (*task, end)
            })
            .collect()
    }
}

/// Returns whether an incarnation of the target has certainly executed the start of a run, so that the
/// run is over with it: no copy of the start was left unanswered, and the incarnation has answered a
/// poll that was sent after the start had been answered.
fn was_started_by(run: &Run, incarnation: &Incarnation) -> bool {
    match run.state {
        RunState::Running { started_at_ms, .. } => {
            !run.may_have_arrived && started_at_ms < incarnation.last_poll_sent_at_ms
        }
        RunState::Waiting { .. } | RunState::Starting { .. } | RunState::Stopping { .. } => false,
    }
}

/// Returns whether a run had started so shortly before the crash that it may be the cause.
fn is_suspect(run: &Run, crashed_at_ms: u64) -> bool {
    match run.state {
        RunState::Starting { .. } => true,
        RunState::Running { started_at_ms, .. } => {
            crashed_at_ms <= started_at_ms.saturating_add(SUSPECT_AGE_MS)
        }
        RunState::Waiting { .. } | RunState::Stopping { .. } => false,
    }
}
