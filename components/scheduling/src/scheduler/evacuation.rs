//! Evacuated failure domains.
//!
//! The operator may evacuate a quarter of the hosts in the middle of a burst. The entry places nothing
//! there from the moment it learns of it, and counts these hosts neither as capacity nor towards the
//! subset of hosts that it follows, so that the subset grows in the other failure domains.

use std::collections::BTreeSet;
use std::rc::Rc;

use model::RunId;

use super::{Scheduler, SchedulerAction};
use crate::host::HostSlot;
use crate::job::{Job, JobSlot};

impl Scheduler {
    /// Sets the evacuated failure domains.
    ///
    /// Tasks whose orders to hosts there have not been sent are placed anew; the agents return the
    /// others that have not started.
    pub fn set_evacuated(
        &mut self,
        now_ms: u64,
        failure_domains: impl IntoIterator<Item = Rc<str>>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let evacuated: BTreeSet<Rc<str>> = failure_domains.into_iter().collect();
        for host in self.hosts.values_mut() {
            host.is_evacuated = evacuated.contains(&host.info.failure_domain);
        }
        self.evacuated_failure_domains = evacuated;
        self.apply_evacuations(now_ms, actions);
    }

    /// Chooses the hosts to follow without delay, and places anew what has not been sent to evacuated
    /// hosts.
    pub(super) fn apply_evacuations(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        self.connections_updated_at_ms = 0;
        self.update_connections(now_ms, actions);
        for (slot, run) in self.cancel_unsent_to_evacuated() {
            self.requeue_task(now_ms, slot, run, now_ms, actions);
        }
    }

    /// Returns whether at least one host would be usable if no failure domain were evacuated.
    #[must_use]
    pub fn has_evacuated_host(&self, now_ms: u64) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.is_evacuated && host.is_followed(now_ms))
    }

    /// Returns whether hosts are evacuated and no other host can take tasks of a job or is about to be
    /// in view.
    pub(super) fn are_hosts_evacuated(&self, now_ms: u64, job: &Job) -> bool {
        self.has_evacuated_host(now_ms)
            && !self.is_most_capacity_unseen(now_ms)
            && self.candidates(now_ms, &job.request.queue.group).is_empty()
    }

    pub(super) fn is_failure_domain_evacuated(&self, failure_domain: &str) -> bool {
        self.evacuated_failure_domains.contains(failure_domain)
    }

    /// Cancels the start orders to evacuated hosts that have not been sent, and returns their runs.
    fn cancel_unsent_to_evacuated(&mut self) -> Vec<(JobSlot, RunId)> {
        let placed: Vec<(JobSlot, RunId, HostSlot)> = self
            .jobs
            .iter()
            .flat_map(|(slot, job)| {
                let runs = job.placed_runs().into_iter();
                runs.map(move |(run, place)| (slot, run, place.host))
            })
            .collect();
        let mut cancelled = Vec::new();
        for (slot, run, host) in placed {
            if let Some(host) = self.hosts.get_mut(host)
                && host.is_evacuated
                && host.cancel_unsent_start(run)
            {
                cancelled.push((slot, run));
            }
        }
        cancelled
    }
}
