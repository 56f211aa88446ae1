//! Choice of the hosts that the entry connects to.

use super::{Scheduler, SchedulerAction};
use crate::host::{HostInfo, HostRecord, HostSlot};

/// Interval at which the hosts to connect to are chosen, in milliseconds.
const REVIEW_MS: u64 = 100;

impl Scheduler {
    /// Adds a host; the next tick emits an action if the entry should connect to it.
    pub fn add_host(&mut self, now_ms: u64, info: HostInfo) -> HostSlot {
        let weight = crate::circle::weight(self.key, &info.address);
        let slot = self.hosts.insert(HostRecord::new(now_ms, info, weight));
        let before = |other: &HostSlot| self.hosts[*other].weight >= weight;
        let at = self.ranked.partition_point(before);
        self.ranked.insert(at, slot);
        self.reviewed_at_ms = 0;
        slot
    }

    /// Removes a host that has been disconnected for `HOST_KEPT_MS`; returns whether the host is no
    /// longer in the scheduler.
    pub fn forget_host(&mut self, now_ms: u64, slot: HostSlot) -> bool {
        let is_gone = |host: &HostRecord| host.is_gone(now_ms);
        if self.hosts.get(slot).is_some_and(is_gone) {
            self.hosts.remove(slot);
            self.ranked.retain(|other| *other != slot);
        }
        !self.hosts.contains_key(slot)
    }

    /// Returns whether the entry should be connected to a host.
    #[must_use]
    pub fn is_wanted(&self, slot: HostSlot) -> bool {
        self.hosts.get(slot).is_some_and(|host| host.is_wanted)
    }

    /// Chooses the hosts to connect to: those with the highest weights, until enough of them are
    /// usable or connecting. A connection is kept while the host has work of this entry.
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
