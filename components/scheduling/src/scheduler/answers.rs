//! Refusals, withdrawals and answers of jobs.

use model::JobId;

use super::{Scheduler, SchedulerAction, forecasts};
use crate::admission::{self, Prospect};
use crate::job::{Job, JobSlot, TaskState, Withdrawal};
use crate::limits::{MAX_JOBS, WITHDRAWAL_TIMEOUT_MS};
use crate::placement::Candidate;
use crate::verdict::{JobState, NotRunReason, Verdict};

impl Scheduler {
    /// Returns the reason to refuse a job on arrival, or `None` if it is admitted.
    pub(super) fn refusal_reason(
        &self,
        job: &Job,
        candidates: &[Candidate],
        prospect: Option<&Prospect>,
    ) -> Option<NotRunReason> {
        if self.jobs.len() >= MAX_JOBS {
            return Some(NotRunReason::Full);
        }
        if candidates.is_empty() {
            return Some(NotRunReason::NoHosts);
        }
        admission::refusal_reason(prospect, job.request.time_left_ms)
    }

    /// Withdraws a job of which no task is known to have started: cancels its unsent orders and
    /// stops its other runs.
    pub(super) fn withdraw(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        reason: NotRunReason,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.withdrawal = Some(Withdrawal {
            reason,
            until_ms: now_ms + WITHDRAWAL_TIMEOUT_MS,
        });
        for (run, place) in job.placed_runs() {
            let Some(host) = self.hosts.get_mut(place.host) else {
                continue;
            };
            if host.push_stop(run)
                && let Some((task, _)) = self.jobs[slot].current_run(run)
            {
                task.state = TaskState::Waiting { not_before_ms: 0 };
            }
            actions.push(SchedulerAction::SendOrders(place.host));
        }
        self.finish_withdrawal(now_ms, slot, actions);
    }

    /// Withdraws every job of which no task is known to have started, since the entry shuts down.
    pub fn withdraw_unstarted(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let is_unstarted = |job: &Job| !job.has_started_tasks && job.withdrawal.is_none();
        let unstarted = self.jobs.iter().filter(|(_, job)| is_unstarted(job));
        let slots: Vec<JobSlot> = unstarted.map(|(slot, _)| slot).collect();
        for slot in slots {
            self.withdraw(now_ms, slot, NotRunReason::ShuttingDown, actions);
        }
    }

    /// Returns the state of a job of a queue that is in progress or has recently been answered.
    #[must_use]
    pub fn job_state(&self, queue: &str, id: JobId) -> Option<JobState> {
        match self.answers.get_of(queue, id) {
            Some(Verdict::Completed) => return Some(JobState::Completed),
            Some(Verdict::Failed) => return Some(JobState::Failed),
            Some(Verdict::Cancelled) => return Some(JobState::Cancelled),
            Some(Verdict::NotRun { .. } | Verdict::Lost | Verdict::Expired) | None => {}
        }
        let job = &self.jobs[self.find(queue, id)?];
        let state = if job.has_started_tasks {
            JobState::Running
        } else {
            JobState::Queued
        };
        Some(state)
    }

    /// Cancels a job of a queue: stops its runs and answers its callers; also a later copy of the
    /// request is answered so. Returns whether the job was in progress.
    pub fn cancel(
        &mut self,
        now_ms: u64,
        queue: &str,
        id: JobId,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let Some(slot) = self.find(queue, id) else {
            return false;
        };
        self.answer(now_ms, slot, Verdict::Cancelled, actions);
        true
    }

    fn find(&self, queue: &str, id: JobId) -> Option<JobSlot> {
        let slot = self.by_id.get(&id).copied()?;
        (&*self.jobs[slot].request.queue.name == queue).then_some(slot)
    }

    /// Answers a job under withdrawal once all its runs are known to have ended or not started.
    pub(super) fn finish_withdrawal(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let Some(withdrawal) = job.withdrawal else {
            return;
        };
        if !job.placed_runs().is_empty() {
            return;
        }
        let verdict = if job.has_started_tasks {
            Verdict::Expired
        } else {
            self.not_run_verdict(slot, withdrawal.reason)
        };
        self.answer(now_ms, slot, verdict, actions);
    }

    pub(super) fn not_run_verdict(&self, slot: JobSlot, reason: NotRunReason) -> Verdict {
        let job = &self.jobs[slot];
        Verdict::NotRun {
            reason,
            retry_after_ms: admission::retry_after_ms(job.id(), 0.0),
        }
    }

    pub(super) fn answer(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        verdict: Verdict,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.remove_job(slot, actions) else {
            return;
        };
        let queue = &job.request.queue.name;
        self.answers.insert(now_ms, queue, job.id(), verdict);
        if verdict == Verdict::Completed {
            let outcome = forecasts::job_outcome(now_ms, &job);
            actions.push(SchedulerAction::RecordForecast(outcome));
        }
        actions.push(SchedulerAction::Answer {
            job: slot,
            verdict,
            is_late: now_ms > job.objective_at_ms,
        });
    }

    /// Removes a job and stops its runs.
    pub(super) fn remove_job(
        &mut self,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) -> Option<Job> {
        let job = self.jobs.remove(slot)?;
        self.by_id.remove(&job.id());
        for (run, place) in job.placed_runs() {
            if let Some(host) = self.hosts.get_mut(place.host)
                && host.agent == Some(place.agent)
            {
                host.push_stop(run);
                actions.push(SchedulerAction::SendOrders(place.host));
            }
        }
        Some(job)
    }
}
