//! Crashes of targets, and the quarantine of queues whose tasks cause them.

use std::rc::Rc;

use model::{QueueQuarantine, RunEnd, RunId};

use super::{Scheduler, SchedulerAction};
use crate::host::HostSlot;
use crate::job::JobSlot;
use crate::quarantine::quarantine_size;
use crate::verdict::Verdict;

impl Scheduler {
    /// Returns the names of the queues in quarantine.
    #[must_use]
    pub fn quarantined_queues(&self, now_ms: u64) -> Vec<Rc<str>> {
        self.quarantine.queues(now_ms)
    }

    /// Processes the crash of a target that ran a task: the task is placed elsewhere, unless it is likely
    /// to be the cause.
    pub(super) fn handle_crash(
        &mut self,
        now_ms: u64,
        slot: JobSlot,
        run: RunId,
        end: RunEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.mark_started(slot, run);
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        let queue = Rc::clone(&job.request.queue.name);
        let Some((task, _)) = job.current_run(run) else {
            return;
        };
        task.crashes += 1;
        if end != RunEnd::Crashed {
            task.crashes_at_start += 1;
            self.quarantine.record_suspects(now_ms);
        }
        task.is_likely_cause |= end == RunEnd::CausedCrash;
        let (is_given_up, is_cause) = (task.is_given_up(), task.is_cause());
        if is_cause && self.quarantine.begin(now_ms, &queue) {
            let is_begun = true;
            actions.push(SchedulerAction::LogQuarantine { queue, is_begun });
        } else if end == RunEnd::CausedCrash {
            self.quarantine.prolong(now_ms, &queue);
        }
        if is_given_up {
            self.answer(now_ms, slot, Verdict::Failed, actions);
            return;
        }
        self.requeue_task(now_ms, slot, run, now_ms, actions);
    }

    /// Adds the quarantines that an agent knows from other entries.
    pub(super) fn learn_quarantines(
        &mut self,
        now_ms: u64,
        known: &[QueueQuarantine],
        actions: &mut Vec<SchedulerAction>,
    ) {
        for queue in self.quarantine.merge(now_ms, known) {
            let is_begun = true;
            actions.push(SchedulerAction::LogQuarantine { queue, is_begun });
        }
    }

    /// Ends the quarantines that are over.
    pub(super) fn end_quarantines(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        for queue in self.quarantine.take_ended(now_ms) {
            let is_begun = false;
            actions.push(SchedulerAction::LogQuarantine { queue, is_begun });
        }
    }

    /// Returns the quarantine hosts of a group while some are set apart: the same ones at each entry
    /// that knows the same hosts.
    pub(super) fn quarantine_hosts(&self, now_ms: u64, group: &str) -> Vec<HostSlot> {
        if !self.quarantine.needs_hosts(now_ms) {
            return Vec::new();
        }
        let of_group = self.hosts.iter().filter(|(_, host)| {
            let view = host.view.as_ref();
            view.is_some_and(|view| &*view.group == group)
        });
        let mut hosts: Vec<(u64, HostSlot)> = of_group
            .map(|(slot, host)| (host.quarantine_weight, slot))
            .collect();
        hosts.sort_unstable();
        hosts.truncate(quarantine_size(hosts.len()));
        hosts.into_iter().map(|(_, slot)| slot).collect()
    }
}
