//! Polls of the target.
//!
//! A poll ([`TargetPoll`]) renews the lease of all runs at the target and asks for the list of its
//! running and ended runs.

use model::{NotStartedReason, RunEnd, RunEvent, TaskRef};

use super::{Host, MIN_SPEED_SAMPLE_MS, SPEED_SAMPLE_SLACK_MS};
use crate::action::TargetCall;
use crate::lease::TargetPoll;
use crate::limits::{
    CONFIRM_WAIT_MS, HELD_RUN_RETENTION_MS, LEASE_MS, MAX_PARALLEL_POLLS, MIN_POLL_PAUSE_MS,
    MIN_STALL_MS, PARALLEL_POLL_MS, PARALLEL_POLL_WAIT_MS, TARGET_CALL_TIMEOUT_MS,
    TARGET_POLL_TIMEOUT_MS, TARGET_POLL_WAIT_MS,
};
use crate::run::{Run, RunState};
use crate::target::{EndedRun, RunningRun, TargetEnd, TargetPollOutcome, TargetRuns};

impl Host {
    /// Returns the next poll of the target.
    ///
    /// It does not renew the lease while a run that should have ended may still be running: then
    /// the target ends all runs. Nor does it after a connection was refused, until an answer, so that
    /// it is certain when the lease has expired.
    pub fn target_poll(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) -> TargetPoll {
        self.end_unauthorized(now_ms, actions);
        let is_withheld = self.is_target_gone || self.has_overdue_run(now_ms);
        let lease_end_ms = if is_withheld || self.runs.is_empty() {
            None
        } else {
            self.lease.grant(now_ms)
        };
        let (wait_ms, timeout_ms) = if self.poll_count(now_ms) > 1 {
            (PARALLEL_POLL_WAIT_MS, TARGET_CALL_TIMEOUT_MS)
        } else {
            (TARGET_POLL_WAIT_MS, TARGET_POLL_TIMEOUT_MS)
        };
        TargetPoll {
            instance: self.instance(),
            lease_end_ms,
            token: self.token,
            // The numbers of ends start anew with an incarnation, and another one may answer now.
            acknowledged: if self.has_poll_failed {
                0
            } else {
                self.acknowledged
            },
            // A new agent needs to know at once which runs an earlier one left. While there is doubt about
            // the target, starts wait for its answer.
            wait_ms: if !self.has_no_earlier_runs || self.doubt.is_present() {
                0
            } else if self.has_unconfirmed_end() {
                wait_ms.min(CONFIRM_WAIT_MS)
            } else {
                wait_ms
            },
            timeout_ms,
        }
    }

    /// Returns how many polls of the target should be in progress: several while there are runs and
    /// the target recently left a call unanswered. A target that has been silent for as long as a
    /// lease does not lose single answers but hangs, and further polls would only cost connections.
    #[must_use]
    pub fn poll_count(&self, now_ms: u64) -> usize {
        let is_hanging = now_ms >= self.last_answer_at_ms + LEASE_MS;
        let is_lossy = now_ms < self.parallel_poll_until_ms && !self.runs.is_empty() && !is_hanging;
        if is_lossy { MAX_PARALLEL_POLLS } else { 1 }
    }

    /// Processes the result of a poll that was sent at `sent_at_ms`.
    pub fn poll_ended(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        outcome: TargetPollOutcome,
        actions: &mut Vec<TargetCall>,
    ) {
        self.schedule_poll(now_ms, sent_at_ms, &outcome);
        self.has_poll_failed = !matches!(outcome, TargetPollOutcome::Answered(_));
        match outcome {
            TargetPollOutcome::Answered(target_runs) => {
                self.apply_target_runs(now_ms, sent_at_ms, &target_runs, actions);
            }
            TargetPollOutcome::StaleToken => self.raise_token_after(sent_at_ms),
            TargetPollOutcome::NobodyListens => {
                self.record_broken_call(now_ms);
                self.is_target_gone = true;
                if !self.are_refusals_doubted {
                    self.end_all_with_target(now_ms);
                }
                self.reject_waiting(NotStartedReason::NoTarget);
            }
            // A poll that was sent before the present target was confirmed named an earlier one.
            TargetPollOutcome::OtherIncarnation => {
                if sent_at_ms >= self.target_since_ms {
                    self.target = None;
                    self.reject_waiting(NotStartedReason::NoTarget);
                }
            }
            TargetPollOutcome::Inconclusive | TargetPollOutcome::Unanswered => {
                self.parallel_poll_until_ms = now_ms + PARALLEL_POLL_MS;
                if outcome == TargetPollOutcome::Inconclusive {
                    self.doubt.record_failure(now_ms, now_ms);
                    self.record_broken_call(now_ms);
                } else {
                    self.doubt.record_failure(now_ms, sent_at_ms);
                }
            }
        }
        self.tick(now_ms, actions);
    }

    /// Returns the time from which on the target may be polled, in milliseconds; a report of the
    /// target ends a pause.
    #[must_use]
    pub fn next_poll_at_ms(&self) -> u64 {
        self.next_poll_at_ms
    }

    /// Returns the time from which on the target may be polled in parallel, in milliseconds: without a
    /// pause while runs depend on the lease, since another connection may be answered.
    #[must_use]
    pub fn next_parallel_poll_at_ms(&self, now_ms: u64) -> u64 {
        if self.depends_on_lease(now_ms) {
            return now_ms;
        }
        self.next_poll_at_ms
    }

    /// Returns whether runs may be at the target whose lease the next poll can still renew.
    fn depends_on_lease(&self, now_ms: u64) -> bool {
        let is_silent = now_ms >= self.last_answer_at_ms + LEASE_MS;
        !self.is_target_gone && !is_silent && self.runs.values().any(Run::occupies_resources)
    }

    /// Sets the time of the next poll: after a pause if the last one failed immediately, since the
    /// next one would fail likewise. The pause does not grow while runs depend on the lease.
    fn schedule_poll(&mut self, now_ms: u64, sent_at_ms: u64, outcome: &TargetPollOutcome) {
        let has_waited = now_ms.saturating_sub(sent_at_ms) >= MIN_POLL_PAUSE_MS;
        self.next_poll_at_ms = match outcome {
            TargetPollOutcome::Answered(_) => {
                self.poll_backoff.record_success();
                now_ms
            }
            TargetPollOutcome::Unanswered => now_ms,
            TargetPollOutcome::Inconclusive if has_waited => now_ms,
            TargetPollOutcome::Inconclusive if self.depends_on_lease(now_ms) => {
                now_ms + MIN_POLL_PAUSE_MS
            }
            TargetPollOutcome::NobodyListens | TargetPollOutcome::Inconclusive => {
                self.poll_backoff.record_failure(now_ms)
            }
            // The token is raised, or the identity left out, so that the next poll may succeed.
            TargetPollOutcome::StaleToken | TargetPollOutcome::OtherIncarnation => {
                now_ms + MIN_POLL_PAUSE_MS
            }
        };
    }

    /// Applies an answer of the target, unless it may be from an earlier incarnation.
    pub(super) fn apply_target_runs(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        target_runs: &TargetRuns,
        actions: &mut Vec<TargetCall>,
    ) {
        let born_unix_ms = target_runs.born_unix_ms;
        if self.may_be_earlier_answer(sent_at_ms, born_unix_ms) {
            return;
        }
        if !self.is_incarnation(born_unix_ms) {
            self.begin_incarnation(now_ms, born_unix_ms, actions);
        }
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.last_poll_sent_at_ms = incarnation.last_poll_sent_at_ms.max(sent_at_ms);
        }
        // After a gap it is uncertain when the reported progress was made.
        let usual_ms = TARGET_POLL_WAIT_MS + SPEED_SAMPLE_SLACK_MS;
        self.has_polling_gap = now_ms > self.last_answer_at_ms + usual_ms;
        self.last_answer_at_ms = now_ms;
        self.doubt.record_answer(sent_at_ms);
        self.is_target_gone = false;
        self.first_broken_call_ms = None;
        self.lease.record_clock(now_ms, target_runs.clock_ms);
        for ended in &target_runs.ended {
            self.apply_end(now_ms, ended);
        }
        self.acknowledged = self.acknowledged.max(target_runs.last_sequence);
        let unknown = self.apply_running(now_ms, &target_runs.running);
        self.has_no_earlier_runs |= unknown.is_empty();
        for run in unknown {
            actions.push(TargetCall::Stop {
                instance: self.instance(),
                task: run.task,
                number: run.number,
                token: self.token,
            });
        }
        self.end_missing(now_ms, sent_at_ms, &target_runs.running);
    }

    /// Applies the list of running runs and returns those that should not run.
    pub(super) fn apply_running(
        &mut self,
        now_ms: u64,
        listed_runs: &[RunningRun],
    ) -> Vec<RunningRun> {
        let mut unknown = Vec::new();
        for listed_run in listed_runs {
            let run = self.runs.get(&listed_run.task);
            match run.map(|run| (run.number(), run.state)) {
                Some((Some(number), RunState::Starting { .. })) if number == listed_run.number => {
                    self.mark_running(now_ms, listed_run.task, number, listed_run.percent);
                }
                Some((Some(number), RunState::Running { .. })) if number == listed_run.number => {
                    self.apply_progress(now_ms, listed_run);
                }
                Some((Some(number), _)) if number == listed_run.number => {}
                _ => unknown.push(*listed_run),
            }
        }
        unknown
    }

    /// Sets a run to running, and reports that to its entry.
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
        self.record_neighbors_at_start(now_ms, task);
        self.push_event(owner, id, RunEvent::Started);
    }

    /// Samples the speed from the progress of a run, or reports once that it has stalled.
    pub(super) fn apply_progress(&mut self, now_ms: u64, listed_run: &RunningRun) {
        let Some(run) = self.runs.get_mut(&listed_run.task) else {
            return;
        };
        let stall_ms = MIN_STALL_MS.max(u64::from(run.estimate_ms) / 5);
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
        if listed_run.percent > *percent {
            if elapsed_ms >= MIN_SPEED_SAMPLE_MS {
                let done_share = f64::from(listed_run.percent - *percent) / 100.0;
                *percent = listed_run.percent;
                *progress_at_ms = now_ms;
                if !self.has_polling_gap {
                    let sample = run.sample_speed(done_share, elapsed_ms as f64);
                    self.speed.add_sample(now_ms, &sample);
                }
            }
            return;
        }
        if elapsed_ms >= stall_ms && !*is_stalled {
            *is_stalled = true;
            self.health.failed(now_ms, id.task.job);
            self.push_event(owner, id, RunEvent::Stalled);
        }
    }

    /// Applies the end of a run, if it was not applied before.
    pub(super) fn apply_end(&mut self, now_ms: u64, ended: &EndedRun) {
        if ended.sequence <= self.acknowledged {
            return;
        }
        self.record_run_number(now_ms, ended.task, ended.number);
        let Some(run) = self.runs.get(&ended.task) else {
            return;
        };
        if run.number() != Some(ended.number) {
            return;
        }
        let job = run.id.task.job;
        match ended.end {
            TargetEnd::Done => self.apply_success(now_ms, ended.task),
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
        self.remove_ended(now_ms, ended.task, end);
    }

    /// Records a success for the health check and samples the speed from it.
    pub(super) fn apply_success(&mut self, now_ms: u64, task: TaskRef) {
        self.health.succeeded();
        if self.has_polling_gap {
            return;
        }
        self.learn_effects(now_ms, task);
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if let RunState::Running {
            percent,
            progress_at_ms,
            ..
        } = run.state
        {
            let left_share = f64::from(100 - percent.min(100)) / 100.0;
            let elapsed_ms = now_ms.saturating_sub(progress_at_ms) as f64;
            let sample = run.sample_speed(left_share, elapsed_ms);
            self.speed.add_sample(now_ms, &sample);
        }
    }

    /// Ends as lost the runs that the target no longer lists.
    ///
    /// Applies only to runs whose start or stop was answered before the poll was sent; the list
    /// may be older than other answers.
    pub(super) fn end_missing(&mut self, now_ms: u64, sent_at_ms: u64, listed_runs: &[RunningRun]) {
        let is_listed = |task: &TaskRef| {
            listed_runs
                .iter()
                .any(|listed_run| listed_run.task == *task)
        };
        let missing: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(task, run)| match run.state {
                RunState::Running { started_at_ms, .. } => {
                    started_at_ms < sent_at_ms && !is_listed(task)
                }
                RunState::Stopping {
                    accepted_at_ms: Some(accepted_at_ms),
                    ..
                } => accepted_at_ms < sent_at_ms && !is_listed(task),
                RunState::Waiting { .. }
                | RunState::Starting { .. }
                | RunState::Stopping { .. } => false,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.remove_ended(now_ms, task, RunEnd::Lost);
        }
    }

    /// Ends as lost all runs at the target, but for those that its next incarnation may start.
    fn end_all_as_lost(&mut self, now_ms: u64) {
        let running: Vec<TaskRef> = self
            .runs
            .iter()
            .filter(|(_, run)| run.occupies_resources())
            .map(|(task, _)| *task)
            .collect();
        for task in running {
            self.end_or_hold(now_ms, task, RunEnd::Lost);
        }
    }

    /// Ends all runs at the target if it does not answer and their lease has expired: as lost, or with
    /// the target if nobody listens at its address. Those that its next incarnation may start end when
    /// it has been silent for [`HELD_RUN_RETENTION_MS`].
    pub(super) fn end_lapsed(&mut self, now_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.last_answer_at_ms);
        if silent_ms < LEASE_MS || now_ms < self.lease.expired_at_ms() {
            return;
        }
        if silent_ms >= HELD_RUN_RETENTION_MS {
            for run in self.runs.values_mut() {
                run.has_unanswered_start = false;
            }
        }
        if self.is_target_gone {
            self.end_all_with_target(now_ms);
        } else {
            self.end_all_as_lost(now_ms);
        }
    }
}
