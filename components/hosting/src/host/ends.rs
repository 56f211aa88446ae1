//! Ends of runs, and orders that are given back.

use model::{NotStarted, RunEnd, RunEvent, TaskRef};

use super::Host;
use crate::action::HostAction;
use crate::limits::STOP_RETRY_MS;
use crate::run::RunState;

impl Host {
    /// Takes the answer to a stop: the run has ended or will within the target's stop time,
    /// and a start that is still under way is refused.
    pub fn stop_answered(&mut self, now_ms: u64, task: TaskRef, of_number: u32) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if let RunState::Stopping {
            number,
            answered_at_ms,
            ..
        } = &mut run.state
            && *number == of_number
        {
            answered_at_ms.get_or_insert(now_ms);
        }
    }

    pub(super) fn send_stop(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        must_end_by_ms: Option<u64>,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let Some(number) = run.number() else {
            return;
        };
        if matches!(run.state, RunState::Stopping { .. }) && must_end_by_ms.is_none() {
            return;
        }
        run.state = RunState::Stopping {
            number,
            retry_at_ms: now_ms + STOP_RETRY_MS,
            answered_at_ms: None,
            must_end_by_ms,
        };
        actions.push(HostAction::Stop {
            task,
            number,
            token: self.token,
        });
    }

    pub(super) fn retry_stops(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) {
        for run in self.runs.values_mut() {
            if let RunState::Stopping {
                number,
                retry_at_ms,
                ..
            } = &mut run.state
                && *retry_at_ms <= now_ms
            {
                *retry_at_ms = now_ms + STOP_RETRY_MS;
                actions.push(HostAction::Stop {
                    task: run.id.task,
                    number: *number,
                    token: self.token,
                });
            }
        }
    }

    pub(super) fn give_back_overdue(&mut self, now_ms: u64) {
        let overdue: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(run.state, RunState::Waiting { give_up_at_ms } if give_up_at_ms <= now_ms)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in overdue {
            self.give_back(task, NotStarted::NoRoom);
        }
    }

    pub(super) fn give_back_waiting(&mut self, why: NotStarted) {
        let waiting: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.occupies())
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            self.give_back(task, why);
        }
    }

    /// Removes a run that has not started and never will.
    pub(super) fn give_back(&mut self, task: TaskRef, why: NotStarted) {
        if let Some(run) = self.runs.remove(&task) {
            self.tell(run.owner, run.id, RunEvent::NotStarted(why));
        }
    }

    /// Removes a run that has ended.
    pub(super) fn end(&mut self, now_ms: u64, task: TaskRef, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        if let Some(number) = run.number() {
            self.note_number(now_ms, task, number);
        }
        let since_ms = match run.state {
            RunState::Running { started_at_ms, .. } => started_at_ms,
            _ => run.ordered_at_ms,
        };
        let ran_ms = u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX);
        self.tell(run.owner, run.id, RunEvent::Ended(end, ran_ms));
    }
}
