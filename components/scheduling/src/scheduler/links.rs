//! Hosts that the entry is connected to.

use super::{Scheduler, SchedulerAction};
use crate::host::{HostInfo, HostRecord, HostSlot};

/// Interval at which the hosts to be connected to are chosen, in milliseconds.
const REVIEW_MS: u64 = 100;

impl Scheduler {
    /// Adds a host; whether to connect to it is told by the next action of a tick.
    pub fn add_host(&mut self, now_ms: u64, info: HostInfo) -> HostSlot {
        let weight = crate::circle::weight(self.key, &info.address);
        let slot = self.hosts.insert(HostRecord::new(now_ms, info, weight));
        let before = |other: &HostSlot| self.hosts[*other].weight >= weight;
        let at = self.ranked.partition_point(before);
        self.ranked.insert(at, slot);
        self.reviewed_at_ms = 0;
        slot
    }

    /// Forgets a host if it counts as gone; tells whether it is forgotten.
    pub fn forget_host(&mut self, now_ms: u64, slot: HostSlot) -> bool {
        let is_gone = |host: &HostRecord| host.is_gone(now_ms);
        if self.hosts.get(slot).is_some_and(is_gone) {
            self.hosts.remove(slot);
            self.ranked.retain(|other| *other != slot);
        }
        !self.hosts.contains_key(slot)
    }

    /// Tells whether the entry should be connected to a host.
    #[must_use]
    pub fn is_wanted(&self, slot: HostSlot) -> bool {
        self.hosts.get(slot).is_some_and(|host| host.is_wanted)
    }

    /// Chooses the hosts to be connected to: those of the highest weights, until enough of them
    /// can be used. A host with work of this entry stays.
    pub(super) fn review_links(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        if now_ms < self.reviewed_at_ms + REVIEW_MS {
            return;
        }
        self.reviewed_at_ms = now_ms;
        let size = self.circle.size(now_ms, self.ranked.len());
        let mut counted = 0;
        for &slot in &self.ranked {
            let host = &mut self.hosts[slot];
            let is_in = counted < size;
            let has_work = || self.jobs.values().any(|job| job.is_placed_at(slot));
            let is_kept = !is_in && host.is_wanted && (host.has_orders() || has_work());
            if (is_in || is_kept) != host.is_wanted {
                host.is_wanted = is_in;
                host.wanted_at_ms = now_ms;
                actions.push(SchedulerAction::LinkChanged(slot));
            }
            counted += usize::from(host.is_wanted && host.counts(now_ms));
        }
    }
}
