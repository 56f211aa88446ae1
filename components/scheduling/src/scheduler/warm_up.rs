//! Jobs that arrive before the hosts are in view.
//!
//! After a loss of power, or when an entry is replaced, callers return before the entry has listed the
//! hosts and connected to them, which takes some tens of milliseconds. The entry does not know yet
//! whether it can serve them: their jobs wait until most of the hosts are in view, and are then
//! placed or refused.

use super::planning::Plan;
use super::{AdmissionInputs, Scheduler, SchedulerAction, SubmitOutcome};
use crate::job::{Job, JobSlot};
use crate::verdict::NotRunReason;

impl Scheduler {
    /// Returns whether the hosts have not been listed, or more hosts are about to be in view than are.
    pub(super) fn is_most_capacity_unseen(&self, now_ms: u64) -> bool {
        if now_ms < self.hosts_expected_until_ms {
            return true;
        }
        let wanted = || self.hosts.values().filter(|host| host.is_connection_wanted);
        // Hosts are listed up to a tick before connections are chosen. In that time requests were
        // refused for lack of hosts.
        if self.connections_updated_at_ms == 0 && wanted().next().is_none() {
            return !self.hosts.is_empty();
        }
        let usable = wanted().filter(|host| host.is_usable(now_ms)).count();
        let connecting = wanted().filter(|host| host.is_connecting(now_ms)).count();
        connecting > usable
    }

    /// Admits a job whose tasks are placed once hosts are in view.
    pub(super) fn admit_without_hosts(
        &mut self,
        job: Job,
        inputs: AdmissionInputs,
    ) -> SubmitOutcome {
        let id = job.id();
        let slot = self.jobs.insert(Job {
            awaits_hosts: true,
            ..job
        });
        self.by_id.insert(id, slot);
        SubmitOutcome::Admitted(slot, inputs)
    }

    /// Decides again about a job that waits for hosts.
    pub(super) fn retry_admission(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        plan: Plan,
        refusal_reason: Option<NotRunReason>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let is_most_capacity_unseen = self.is_most_capacity_unseen(now_ms);
        let job = &mut self.jobs[slot];
        let Some(reason) = refusal_reason else {
            let age_ms = now_ms.saturating_sub(job.arrived_ms) as f64;
            let finish_ms = plan.prospect().map_or(0.0, |prospect| prospect.finish_ms);
            job.expected_ms = age_ms + finish_ms;
            job.awaits_hosts = false;
            self.apply_plan(now_ms, slot, plan, actions);
            return;
        };
        let may_be_served = reason.depends_on_hosts() && job.can_end_in_time(now_ms);
        if !is_most_capacity_unseen || !may_be_served {
            self.withdraw(now_ms, slot, reason, actions);
        }
    }
}
