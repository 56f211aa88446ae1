//! Recovery from lost hosts and suspensions, and enforcement of deadlines.

use model::CALLER_RETRY_MS;

use super::{Scheduler, SchedulerAction};
use crate::job::JobSlot;
use crate::limits::MAX_RUN_AFTER_PERMIT_MS;
use crate::verdict::{NotRunReason, Verdict};

impl Scheduler {
    /// Answers every job in progress as lost: after the process was suspended for so long that callers
    /// may have retried at other entries, or before it ends.
    pub fn abandon_jobs(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            self.answer(now_ms, slot, Verdict::Lost, actions);
        }
    }

    /// Requeues the tasks of a job whose runs on unreachable or replaced agents must have ended.
    ///
    /// Answers the job as lost if a lost run cannot be repeated before the deadline. It does so
    /// `CALLER_RETRY_MS` before that run must have ended, since the caller sends the job again only
    /// after that delay.
    pub(super) fn recover_lost_runs(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let mut ended = Vec::new();
        let mut is_lost = false;
        for (run, place) in job.placed_runs() {
            let Some(host) = self.hosts.get(place.host) else {
                ended.push((run, place.host));
                continue;
            };
            if host.has_no_runs_of(now_ms, place.agent) {
                ended.push((run, place.host));
                continue;
            }
            let is_unreachable = host.agent != Some(place.agent) || !host.is_connected;
            let permit_received_at_ms = host.last_permit_received_at_ms(place.agent);
            if is_unreachable
                && now_ms >= permit_received_at_ms + (MAX_RUN_AFTER_PERMIT_MS - CALLER_RETRY_MS)
            {
                let run_ms = job.forecast(run.task.step).work_ms as u64;
                let repeated_end_ms = permit_received_at_ms + MAX_RUN_AFTER_PERMIT_MS + run_ms;
                is_lost |= repeated_end_ms > job.deadline_ms;
            }
        }
        if is_lost {
            self.answer(now_ms, slot, Verdict::Lost, actions);
            return;
        }
        for (run, host) in ended {
            // An in-flight order that is resent must not start a task that now runs elsewhere.
            if let Some(host) = self.hosts.get_mut(host) {
                host.cancel_start(run);
            }
            // Whether the run has started is unknown; it counts as started.
            self.mark_started(slot, run);
            self.requeue_task(now_ms, slot, run, now_ms, actions);
        }
    }

    /// Answers a job whose deadline has passed or whose withdrawal was not confirmed in time.
    pub(super) fn check_deadline(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let is_unconfirmed = job.withdrawal.is_some_and(|at| now_ms >= at.until_ms);
        if now_ms >= job.deadline_ms || is_unconfirmed {
            let has_never_started = !job.has_started_tasks && job.placed_runs().is_empty();
            let verdict = if has_never_started {
                self.not_run_verdict(slot, NotRunReason::TooLate)
            } else {
                Verdict::Expired
            };
            self.answer(now_ms, slot, verdict, actions);
        }
    }
}
