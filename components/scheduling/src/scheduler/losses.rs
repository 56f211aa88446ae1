//! Recovery from lost hosts and suspensions, and enforcement of deadlines.

use super::{Scheduler, SchedulerAction};
use crate::job::JobSlot;
use crate::limits::{RESEND_MS, RUN_OVER_MS};
use crate::verdict::{NotRunReason, Verdict};

impl Scheduler {
    /// Answers every job in progress as lost, after the process was suspended for so long that
    /// callers may have retried at other entries.
    pub fn resumed(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        for slot in slots {
            self.answer(now_ms, slot, Verdict::Lost, actions);
        }
    }

    /// Requeues the tasks of a job whose runs on unreachable or replaced agents must have ended.
    ///
    /// Answers the job as lost if a lost run can not be repeated before the deadline. It does so
    /// `RESEND_MS` before that run must have ended, since the caller sends the job again only
    /// after that delay.
    pub(super) fn recover_lost(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let mut over = Vec::new();
        let mut is_lost = false;
        for (run, place) in job.placed() {
            let Some(host) = self.hosts.get(place.host) else {
                over.push((run, place.host));
                continue;
            };
            if host.is_over(now_ms, place.agent) {
                over.push((run, place.host));
                continue;
            }
            let is_silent = host.agent != Some(place.agent) || !host.is_connected;
            let permit_at_ms = host.last_permit_of(place.agent);
            if is_silent && now_ms >= permit_at_ms + (RUN_OVER_MS - RESEND_MS) {
                let step = &job.request.steps[usize::from(run.task.step)];
                let again_ms = permit_at_ms + RUN_OVER_MS + u64::from(step.estimate_ms);
                is_lost |= again_ms > job.deadline_ms;
            }
        }
        if is_lost {
            self.answer(now_ms, slot, Verdict::Lost, actions);
            return;
        }
        for (run, host) in over {
            // An in-flight order that is resent must not start a task that now runs elsewhere.
            if let Some(host) = self.hosts.get_mut(host) {
                host.take_back(run);
            }
            self.note_started(slot, run);
            self.reopen(now_ms, slot, run, now_ms, actions);
        }
    }

    pub(super) fn check_times(
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
            let is_untouched = !job.has_run && job.placed().is_empty();
            let verdict = if is_untouched {
                self.not_run(slot, NotRunReason::TooLate)
            } else {
                Verdict::Expired
            };
            self.answer(now_ms, slot, verdict, actions);
        }
    }
}
