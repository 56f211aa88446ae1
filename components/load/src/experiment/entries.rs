//! Entries: the loop around a dispatcher.

use dispatch::{Action, Dispatcher, Policy};
use model::{AgentEnvelope, EntryInfo, FirmKey, FirmShare, GroupKey, ProcessKey, ShardRecord};

use super::{Event, Experiment, PEER_US, WrittenRecord, counters, entry_endpoint, host_endpoint};
use crate::rules::rules;
use crate::scenario::{FirmLoad, Scenario};

/// Time of a call to the platform, in microseconds.
const PLATFORM_US: u64 = 3_000;

/// Shards of a firm for each entry where there are several entries.
const SHARDS_PER_ENTRY: usize = 2;

/// An entry and its timer.
pub struct FakeEntry {
    pub dispatcher: Dispatcher,
    pub wake_us: u64,
}

impl FakeEntry {
    pub fn new(
        position: usize,
        policy: &Policy,
        seed: u64,
        scenario: &Scenario,
        firms: &[FirmKey],
        group: GroupKey,
    ) -> Self {
        let info = EntryInfo {
            key: ProcessKey(1 + position as u64),
            address: format!("10.0.1.{position}:7000"),
            failure_domain: format!("domain-{position}"),
            firms: Vec::new(),
        };
        let mut dispatcher = Dispatcher::new(info, policy.clone(), seed + position as u64);
        let share = |(&firm, load): (&FirmKey, &FirmLoad)| FirmShare {
            firm,
            weight: load.weight,
        };
        let shares: Vec<FirmShare> = firms.iter().zip(&scenario.firms).map(share).collect();
        let shard_count = match scenario.entries {
            1 => 1,
            entries => entries * SHARDS_PER_ENTRY,
        };
        dispatcher.apply_rules(rules(&shares, group, shard_count as u16));
        dispatcher.mark_records_synced();
        Self {
            dispatcher,
            wake_us: 0,
        }
    }

    pub fn key(&self) -> ProcessKey {
        self.dispatcher.process_key()
    }
}

impl Experiment {
    pub(super) fn receive_agent_envelope(&mut self, entry: usize, envelope: AgentEnvelope) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let dispatcher = &mut self.entries[entry].dispatcher;
        dispatcher.agent_envelope(envelope, now_us, now_unix_ms, &mut actions);
        self.poll_entry(entry, actions);
    }

    pub(super) fn entry_timer(&mut self, entry: usize) {
        if self.now_us < self.entries[entry].wake_us {
            return;
        }
        self.poll_entry(entry, Vec::new());
    }

    /// Lets the entry do what is due and performs its actions.
    pub(super) fn poll_entry(&mut self, entry: usize, mut actions: Vec<Action>) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let fake = &mut self.entries[entry];
        fake.dispatcher.poll(now_us, now_unix_ms, &mut actions);
        let due_us = fake.dispatcher.next_wake_us(now_us).max(now_us + 1);
        if fake.wake_us <= now_us || due_us < fake.wake_us {
            fake.wake_us = due_us;
            self.net.schedule(due_us, Event::EntryTimer { entry });
        }
        self.note_ejection(entry);
        for action in actions {
            self.perform(entry, action);
        }
    }

    fn note_ejection(&mut self, entry: usize) {
        if self.ejected_after_us.is_some() || counters(&self.entries[entry]).ejections == 0 {
            return;
        }
        self.ejected_after_us = self.failing_since_us.map(|since_us| self.now_us - since_us);
    }

    fn perform(&mut self, entry: usize, action: Action) {
        match action {
            Action::Send { address, envelope } => {
                let Some(&host) = self.host_by_address.get(&address) else {
                    return;
                };
                self.tally.owner_envelope(&envelope);
                let (from, to) = (entry_endpoint(entry), host_endpoint(host));
                let event = Event::ToAgent { host, envelope };
                self.net.send(self.now_us, from, to, event);
            }
            Action::Answer { waiter, answer } => self.send_answer(entry, waiter.0 as usize, answer),
            Action::Reroute { waiter } => {
                let job = waiter.0 as usize;
                self.net.schedule(self.now_us, Event::Submit { entry, job });
            }
            Action::CompareAndSwap {
                shard,
                expected_revision,
                record,
            } => {
                let outcome = self.platform.swap(expected_revision, record.clone());
                let written = WrittenRecord {
                    entry,
                    shard,
                    outcome,
                    record,
                };
                let at_us = self.now_us + PLATFORM_US;
                self.net.schedule(at_us, Event::SwapDone(written));
            }
            Action::ReadRecord { shard } => {
                if let Some((revision, record)) = self.platform.read(shard) {
                    self.apply_record(entry, &record, revision);
                }
            }
            Action::HandOver { .. } => {}
        }
    }

    pub(super) fn compare_and_swap_done(&mut self, written: WrittenRecord) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let WrittenRecord {
            entry,
            shard,
            outcome,
            record,
        } = written;
        let mut actions = Vec::new();
        let dispatcher = &mut self.entries[entry].dispatcher;
        dispatcher.compare_and_swap_done(shard, &outcome, now_us, now_unix_ms, &mut actions);
        self.poll_entry(entry, actions);
        let dispatch::SwapOutcome::Done(revision) = outcome else {
            return;
        };
        for other in (0..self.entries.len()).filter(|&other| other != entry) {
            self.apply_record(other, &record, revision);
        }
    }

    fn apply_record(&mut self, entry: usize, record: &ShardRecord, revision: u64) {
        let (now_us, now_unix_ms) = (self.now_us, self.unix_ms());
        let mut actions = Vec::new();
        let dispatcher = &mut self.entries[entry].dispatcher;
        dispatcher.apply_record(record.clone(), revision, now_us, now_unix_ms, &mut actions);
        self.poll_entry(entry, actions);
    }

    pub(super) fn peers(&mut self) {
        let infos: Vec<EntryInfo> = (self.entries.iter())
            .map(|entry| entry.dispatcher.info().clone())
            .collect();
        for entry in &mut self.entries {
            for info in &infos {
                entry
                    .dispatcher
                    .peer_responded(info.clone(), false, self.now_us);
            }
        }
        self.net.schedule(self.now_us + PEER_US, Event::Peers);
    }
}
