//! Evacuations of failure domains: the store, the processes that read it, and those that learn from
//! their peers.

use std::collections::BTreeSet;
use std::rc::Rc;

use model::{Evacuations, KnownEvacuations};
use rand::Rng;

use crate::event::Event;
use crate::world::World;

/// Time after the acknowledgement of an evacuation from which on a start in the failure domain is a
/// violation, in milliseconds.
pub(crate) const BOUND_MS: u64 = 5_000;

/// Minimum and maximum delay until a process that watches the store learns of a change, in
/// microseconds.
const STORE_DELAY_US: (u64, u64) = (1_000, 20_000);

/// The operator's evacuations in the store.
#[derive(Debug, Default)]
pub(crate) struct EvacuationStore {
    revision: u64,
    /// Evacuated failure domains, each with the time of the acknowledgement in milliseconds.
    evacuated: Vec<(usize, u64)>,
    /// Hosts whose agents the store refuses.
    refused_hosts: BTreeSet<usize>,
}

/// Returns the name of a failure domain; a deployment with a single one calls it `domain`.
pub(crate) fn domain_name(domain: usize) -> Rc<str> {
    if domain == 0 {
        return Rc::from("domain");
    }
    Rc::from(format!("domain-{domain}"))
}

impl World {
    /// Returns the failure domain of a host.
    pub(crate) fn domain_of(&self, host: usize) -> usize {
        host * self.deployment.failure_domains / self.deployment.targets.len()
    }

    /// Begins an evacuation; the store refuses each agent with the probability `refused_share`.
    pub(crate) fn begin_evacuation(&mut self, domain: usize, refused_share: f64) {
        let now_ms = self.now_ms();
        self.store.evacuated.push((domain, now_ms));
        for host in 0..self.agents.len() {
            if self.rng.random::<f64>() < refused_share {
                self.store.refused_hosts.insert(host);
            }
        }
        self.publish_evacuations();
    }

    pub(crate) fn end_evacuation(&mut self, domain: usize) {
        self.store.evacuated.retain(|(other, _)| *other != domain);
        self.publish_evacuations();
    }

    fn publish_evacuations(&mut self) {
        self.store.revision += 1;
        for entry in 0..self.entries.len() {
            self.read_evacuations_at_entry(entry);
        }
        for host in 0..self.agents.len() {
            self.read_evacuations_at_agent(host);
        }
    }

    fn stored_evacuations(&self) -> Evacuations {
        let names = self.store.evacuated.iter();
        let names = names.map(|(domain, _)| domain_name(*domain));
        Evacuations::new(self.store.revision, names)
    }

    /// Lets an entry learn the stored set, if there has been any evacuation.
    pub(crate) fn read_evacuations_at_entry(&mut self, entry: usize) {
        if self.store.revision == 0 {
            return;
        }
        let incarnation = self.entries[entry].incarnation;
        let evacuations = self.stored_evacuations();
        let delay_us = self.rng.random_range(STORE_DELAY_US.0..=STORE_DELAY_US.1);
        let read = Event::EntryEvacuations {
            entry,
            incarnation,
            evacuations,
        };
        self.schedule(delay_us, read);
    }

    /// Lets an agent learn the stored set, if there has been any evacuation and the store does not
    /// refuse the agent.
    pub(crate) fn read_evacuations_at_agent(&mut self, host: usize) {
        if self.store.revision == 0 || self.store.refused_hosts.contains(&host) {
            return;
        }
        let incarnation = self.agents[host].incarnation;
        let evacuations = self.stored_evacuations();
        let delay_us = self.rng.random_range(STORE_DELAY_US.0..=STORE_DELAY_US.1);
        let read = Event::AgentEvacuations {
            host,
            incarnation,
            evacuations,
        };
        self.schedule(delay_us, read);
    }

    /// Takes a set at an entry and passes it on to the agents that it is connected to.
    pub(crate) fn merge_at_entry(&mut self, entry: usize, evacuations: Evacuations) {
        let now_ms = self.now_ms();
        let node = &mut self.entries[entry];
        if node.evacuations.merge(evacuations).is_none() {
            return;
        }
        let names = names(&node.evacuations);
        let mut actions = Vec::new();
        node.scheduler.set_evacuated(now_ms, names, &mut actions);
        self.perform(entry, actions);
        for host in 0..self.agents.len() {
            self.share_evacuations(entry, host);
        }
    }

    /// Passes the set that an entry knows on to an agent that it is connected to.
    pub(crate) fn share_evacuations(&mut self, entry: usize, host: usize) {
        let known = self.entries[entry].evacuations.get().cloned();
        let Some(evacuations) = known.filter(|_| self.links[entry][host].is_connected) else {
            return;
        };
        let incarnation = self.agents[host].incarnation;
        let at_us = self.arrival_us(entry, host);
        self.report.messages += 1;
        let share = Event::AgentEvacuations {
            host,
            incarnation,
            evacuations,
        };
        self.schedule_at(at_us, share);
    }

    pub(crate) fn merge_at_agent(&mut self, host: usize, evacuations: Evacuations) {
        if self.agents[host].evacuations.merge(evacuations).is_none() {
            return;
        }
        let name = domain_name(self.domain_of(host));
        let is_evacuated = self.agents[host].evacuations.contains(&name);
        self.update_host(host, |host, now_ms, actions| {
            host.set_evacuated(now_ms, is_evacuated, actions);
        });
    }

    /// Records a start in an evacuated failure domain.
    pub(crate) fn check_evacuated_start(&mut self, host: usize) {
        let domain = self.domain_of(host);
        let evacuated = self.store.evacuated.iter().find(|(at, _)| *at == domain);
        let Some(&(_, since_ms)) = evacuated else {
            return;
        };
        let after_ms = self.now_ms() - since_ms;
        self.report.latest_evacuated_start_ms = self.report.latest_evacuated_start_ms.max(after_ms);
        if after_ms > BOUND_MS {
            self.record_violation(format!(
                "host {host} starts a task {after_ms} ms after its evacuation"
            ));
        }
    }
}

fn names(known: &KnownEvacuations) -> Vec<Rc<str>> {
    let newest = known.get().into_iter();
    newest
        .flat_map(|newest| newest.failure_domains().cloned())
        .collect()
}
