//! Choice of the hosts that the entry connects to.

use std::rc::Rc;

use super::{Scheduler, SchedulerAction};
use crate::host::{HostInfo, HostRecord, HostSlot};

/// Interval at which the hosts to connect to are chosen, in milliseconds.
const SELECTION_INTERVAL_MS: u64 = 100;

impl Scheduler {
    /// Adds a host; the next tick emits an action if the entry should connect to it.
    pub fn add_host(&mut self, now_ms: u64, info: HostInfo) -> HostSlot {
        let weight = crate::subset::weight(self.key, &info.address);
        let mut record = HostRecord::new(now_ms, info, weight);
        record.is_evacuated = self.is_failure_domain_evacuated(&record.info.failure_domain);
        let slot = self.hosts.insert(record);
        let before = |other: &HostSlot| self.hosts[*other].weight >= weight;
        let at = self.hosts_by_weight.partition_point(before);
        self.hosts_by_weight.insert(at, slot);
        self.connections_updated_at_ms = 0;
        slot
    }

    /// Replaces the name and the failure domain of a host; returns whether they have changed.
    ///
    /// Peers may know an older description than the agent gives of itself, and an evacuation applies
    /// to the failure domain that the host is in.
    pub fn update_host(
        &mut self,
        now_ms: u64,
        slot: HostSlot,
        name: &str,
        failure_domain: &str,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let is_evacuated = self.is_failure_domain_evacuated(failure_domain);
        let Some(host) = self.hosts.get_mut(slot) else {
            return false;
        };
        if &*host.info.name == name && &*host.info.failure_domain == failure_domain {
            return false;
        }
        host.info.name = Rc::from(name);
        host.info.failure_domain = Rc::from(failure_domain);
        if host.is_evacuated != is_evacuated {
            host.is_evacuated = is_evacuated;
            self.apply_evacuations(now_ms, actions);
        }
        true
    }

    /// Records that an agent has announced its host, which keeps it for another `HOST_RETENTION_MS`.
    pub fn host_announced(&mut self, now_ms: u64, slot: HostSlot) {
        if let Some(host) = self.hosts.get_mut(slot) {
            host.announced(now_ms);
        }
    }

    /// Removes a host if it has been disconnected and without a permit for `HOST_RETENTION_MS`;
    /// returns whether the host is no longer in the scheduler.
    pub fn remove_expired_host(&mut self, now_ms: u64, slot: HostSlot) -> bool {
        let is_expired = |host: &HostRecord| host.is_expired(now_ms);
        if self.hosts.get(slot).is_some_and(is_expired) {
            self.hosts.remove(slot);
            self.hosts_by_weight.retain(|other| *other != slot);
        }
        !self.hosts.contains_key(slot)
    }

    /// Returns whether the entry should be connected to a host.
    #[must_use]
    pub fn is_connection_wanted(&self, slot: HostSlot) -> bool {
        self.hosts
            .get(slot)
            .is_some_and(|host| host.is_connection_wanted)
    }

    /// Chooses the hosts to connect to: those with the highest weights, until enough of them are
    /// usable or connecting. A connection is kept while the host has work of this entry.
    pub(super) fn update_connections(&mut self, now_ms: u64, actions: &mut Vec<SchedulerAction>) {
        if now_ms < self.connections_updated_at_ms + SELECTION_INTERVAL_MS {
            return;
        }
        self.connections_updated_at_ms = now_ms;
        // Unsafe placements must not enlarge the subset by hosts that nothing can be placed on.
        let in_use = self.hosts.values().filter(|host| !host.is_evacuated);
        let size = self.subset_size.update(now_ms, in_use.count());
        let mut counted_hosts = 0;
        let mut evacuated_hosts = 0;
        for &slot in &self.hosts_by_weight {
            let host = &mut self.hosts[slot];
            // Connections to evacuated hosts are kept, so that their capacity is back at once, but
            // not to more of them than the subset has hosts.
            let is_selected =
                counted_hosts < size && !(host.is_evacuated && evacuated_hosts >= size);
            evacuated_hosts += usize::from(host.is_evacuated && is_selected);
            let has_work = || self.jobs.values().any(|job| job.is_placed_at(slot));
            let is_kept =
                !is_selected && host.is_connection_wanted && (host.has_orders() || has_work());
            if (is_selected || is_kept) != host.is_connection_wanted {
                host.is_connection_wanted = is_selected;
                host.connection_wanted_changed_at_ms = now_ms;
                actions.push(SchedulerAction::UpdateConnection(slot));
            }
            counted_hosts +=
                usize::from(host.is_connection_wanted && host.is_usable_or_connecting(now_ms));
        }
    }
}
