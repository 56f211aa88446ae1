//! The target's accounts of its runs.

use model::{NotStarted, RunEnd, RunEvent, TaskRef};

use super::{Host, PACE_SLACK_MS, PACE_WINDOW_MS};
use crate::action::HostAction;
use crate::lease::HoldRequest;
use crate::limits::{DOUBT_MS, HOLD_WAIT_MS, STALL_MS};
use crate::run::RunState;
use crate::target::{EndedRun, HoldOutcome, Holding, RunningRun, TargetEnd};

impl Host {
    /// Returns the next question for the target's runs.
    ///
    /// The lease is not renewed while a run that had to end may still be running.
    pub fn hold_request(&mut self, now_ms: u64, actions: &mut Vec<HostAction>) -> HoldRequest {
        self.expire(now_ms, actions);
        let is_overdue = self.runs.values().any(|run| {
            matches!(run.state, RunState::Stopping { must_end_by_ms: Some(by_ms), .. }
                if by_ms <= now_ms)
        });
        let lease_end_ms = if is_overdue || self.runs.is_empty() {
            None
        } else {
            self.lease.grant(now_ms)
        };
        HoldRequest {
            lease_end_ms,
            token: self.token,
            acknowledged: self.acknowledged,
            // A new agent first has to know what its predecessor left.
            wait_ms: if self.is_inheritance_clear {
                HOLD_WAIT_MS
            } else {
                0
            },
        }
    }

    /// Tells whether the target has left calls unanswered of late, so that a second question at
    /// the same time is worth its cost.
    #[must_use]
    pub fn is_in_doubt(&self, now_ms: u64) -> bool {
        now_ms < self.in_doubt_until_ms && !self.runs.is_empty()
    }

    /// Takes the result of a question that was sent at `sent_at_ms`.
    pub fn held(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        outcome: HoldOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        match outcome {
            HoldOutcome::Held(holding) => self.take_holding(now_ms, sent_at_ms, &holding, actions),
            HoldOutcome::StaleToken => self.raise_token(),
            HoldOutcome::NobodyListens => {
                self.is_target_gone = true;
                self.lose_all(now_ms);
                self.give_back_waiting(NotStarted::NoTarget);
            }
            HoldOutcome::OtherIncarnation => self.target = None,
            HoldOutcome::Unanswered => self.in_doubt_until_ms = now_ms + DOUBT_MS,
        }
        self.tick(now_ms, actions);
    }

    pub(super) fn take_holding(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        holding: &Holding,
        actions: &mut Vec<HostAction>,
    ) {
        if self.life_unix_ms > Some(holding.born_unix_ms) {
            return;
        }
        self.enter_life(holding.born_unix_ms);
        // After a gap the time of what is learned now is not known well.
        let usual_ms = HOLD_WAIT_MS + PACE_SLACK_MS;
        self.has_gap = now_ms > self.heard_at_ms + usual_ms;
        self.heard_at_ms = now_ms;
        self.is_target_gone = false;
        self.lease.read_clock(now_ms, holding.clock_ms);
        for ended in &holding.ended {
            self.take_end(now_ms, ended);
        }
        self.acknowledged = self.acknowledged.max(holding.last_sequence);
        let unknown = self.take_running(now_ms, &holding.running);
        self.is_inheritance_clear |= unknown.is_empty();
        for run in unknown {
            actions.push(HostAction::Stop {
                task: run.task,
                number: run.number,
                token: self.token,
            });
        }
        self.lose_missing(now_ms, sent_at_ms, &holding.running);
    }

    /// Takes the list of what runs and returns the runs that should not.
    pub(super) fn take_running(&mut self, now_ms: u64, rows: &[RunningRun]) -> Vec<RunningRun> {
        let mut unknown = Vec::new();
        for row in rows {
            let run = self.runs.get(&row.task);
            match run.map(|run| (run.number(), run.state)) {
                Some((Some(number), RunState::Starting { .. })) if number == row.number => {
                    self.mark_running(now_ms, row.task, number, row.percent);
                }
                Some((Some(number), RunState::Running { .. })) if number == row.number => {
                    self.take_progress(now_ms, row);
                }
                Some((Some(number), _)) if number == row.number => {}
                _ => unknown.push(*row),
            }
        }
        unknown
    }

    pub(super) fn mark_running(&mut self, now_ms: u64, task: TaskRef, number: u32, percent: u8) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Running {
            number,
            started_at_ms: now_ms,
            percent,
            progress_at_ms: now_ms,
            is_stalled: false,
        };
        let (id, owner) = (run.id, run.owner);
        self.tell(owner, id, RunEvent::Started);
    }

    pub(super) fn take_progress(&mut self, now_ms: u64, row: &RunningRun) {
        let Some(run) = self.runs.get_mut(&row.task) else {
            return;
        };
        let estimate_ms = f64::from(run.estimate_ms);
        let stall_ms = STALL_MS.max(u64::from(run.estimate_ms) / 5);
        let (id, owner) = (run.id, run.owner);
        let RunState::Running {
            percent,
            progress_at_ms,
            is_stalled,
            ..
        } = &mut run.state
        else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(*progress_at_ms);
        if row.percent > *percent {
            if elapsed_ms >= PACE_WINDOW_MS {
                let done = f64::from(row.percent - *percent) / 100.0;
                if !self.has_gap {
                    self.pace
                        .sample(now_ms, estimate_ms * done, elapsed_ms as f64);
                }
                *percent = row.percent;
                *progress_at_ms = now_ms;
            }
            return;
        }
        if elapsed_ms >= stall_ms && !*is_stalled {
            *is_stalled = true;
            self.health.failed(now_ms, id.task.job);
            self.tell(owner, id, RunEvent::Stalled);
        }
    }

    pub(super) fn take_end(&mut self, now_ms: u64, ended: &EndedRun) {
        if ended.sequence <= self.acknowledged {
            return;
        }
        self.note_number(now_ms, ended.task, ended.number);
        let Some(run) = self.runs.get(&ended.task) else {
            return;
        };
        if run.number() != Some(ended.number) {
            return;
        }
        let job = run.id.task.job;
        match ended.end {
            TargetEnd::Done => self.learn_from_end(now_ms, ended.task),
            TargetEnd::Failed => {
                self.health.failed(now_ms, job);
            }
            TargetEnd::Stopped | TargetEnd::Lapsed | TargetEnd::Broken => {}
        }
        let end = match ended.end {
            TargetEnd::Done => RunEnd::Done,
            TargetEnd::Failed => RunEnd::Failed,
            TargetEnd::Stopped => RunEnd::Stopped,
            TargetEnd::Lapsed | TargetEnd::Broken => RunEnd::Lost,
        };
        self.end(now_ms, ended.task, end);
    }

    pub(super) fn learn_from_end(&mut self, now_ms: u64, task: TaskRef) {
        self.health.succeeded();
        if self.has_gap {
            return;
        }
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if let RunState::Running {
            percent,
            progress_at_ms,
            ..
        } = run.state
        {
            let left = f64::from(100 - percent.min(100)) / 100.0;
            let elapsed_ms = now_ms.saturating_sub(progress_at_ms) as f64;
            let expected_ms = f64::from(run.estimate_ms) * left;
            self.pace.sample(now_ms, expected_ms, elapsed_ms);
        }
    }

    /// Ends the runs that the target does not list any more.
    ///
    /// Only counts for runs that were known to run when the list was asked for.
    pub(super) fn lose_missing(&mut self, now_ms: u64, sent_at_ms: u64, rows: &[RunningRun]) {
        let is_listed = |task: &TaskRef| rows.iter().any(|row| row.task == *task);
        let missing: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(task, run)| match run.state {
                RunState::Running { started_at_ms, .. } => {
                    started_at_ms < sent_at_ms && !is_listed(task)
                }
                RunState::Stopping {
                    answered_at_ms: Some(answered_at_ms),
                    ..
                } => answered_at_ms < sent_at_ms && !is_listed(task),
                RunState::Waiting { .. }
                | RunState::Starting { .. }
                | RunState::Stopping { .. } => false,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.end(now_ms, task, RunEnd::Lost);
        }
    }

    /// Ends everything that ran, because the target has ended.
    pub(super) fn lose_all(&mut self, now_ms: u64) {
        let running: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| run.occupies())
            .map(|(task, _)| *task)
            .collect();
        for task in running {
            self.end(now_ms, task, RunEnd::Lost);
        }
    }

    /// Ends everything that ran once the lease of a silent target is over.
    pub(super) fn lose_lapsed(&mut self, now_ms: u64) {
        let is_silent = now_ms >= self.heard_at_ms + crate::limits::LEASE_MS;
        if is_silent && now_ms >= self.lease.over_at_ms() {
            self.lose_all(now_ms);
        }
    }
}
