//! Entries: the simulated event loop around the decisions of the `dispatch` package.

use std::collections::BTreeMap;

use dispatch::{Action, DispatchRules, Dispatcher, Policy, SwapOutcome, WaiterKey};
use model::{
    AgentEnvelope, AgentMessage, EntryInfo, OwnerEnvelope, OwnerMessage, ProcessKey, ShardKey,
};

use crate::event::{CopyKey, EventKind};
use crate::world::clock::Clock;
use crate::world::message::{
    AgentEvent, Caller, EntryEvent, Event, Node, NodeIndex, PlatformCall, PlatformRequest, Snapshot,
};
use crate::world::routing::{PendingCopy, Waiter};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// Longest time between two ticks of an entry's loop, in microseconds.
const MAX_TICK_US: u64 = 25_000;

/// Interval between pings to another entry, in microseconds.
const PING_INTERVAL_US: u64 = 250_000;

/// Interval between complete reads of the platform, in microseconds.
const SYNC_INTERVAL_US: u64 = 1_000_000;

/// Timeout of a compare-and-swap at the platform, in microseconds.
const PLATFORM_TIMEOUT_US: u64 = 2_000_000;

/// Timeout of an offer of a shard's table to another entry, in microseconds.
const OFFER_TIMEOUT_US: u64 = 1_000_000;

/// One incarnation of an entry.
pub struct EntryNode {
    pub key: ProcessKey,
    pub is_alive: bool,
    pub is_stopping: bool,
    pub clock: Clock,
    pub dispatcher: Dispatcher,
    /// Accepted copies that are not answered yet.
    pub copies: BTreeMap<CopyKey, PendingCopy>,
    /// Copies forwarded to other entries, by the number of the request.
    pub requests: BTreeMap<u64, CopyKey>,
    /// Receivers of the answers of the own dispatcher.
    pub waiters: BTreeMap<WaiterKey, Waiter>,
    pub next_number: u64,
    /// In-flight swaps at the platform, with their timeouts.
    swaps: BTreeMap<u64, (ShardKey, u64)>,
    /// In-flight offers of tables, with their timeouts.
    offers: BTreeMap<u64, (ShardKey, u64)>,
    next_ping_us: u64,
    next_sync_us: u64,
    /// Time of the last records received from the platform.
    pub last_platform_us: u64,
}

impl EntryNode {
    /// Returns the shards that the entry owns.
    pub fn owned(&self) -> Vec<ShardKey> {
        let key = self.key;
        let owners = self.dispatcher.shard_owners();
        owners
            .filter(|(_, owner, _)| *owner == key)
            .map(|(shard, ..)| shard)
            .collect()
    }
}

impl World {
    pub(super) fn create_entry(&mut self, index: NodeIndex) {
        let key = self.draw_key(Node::Entry(index));
        let info = EntryInfo {
            key,
            address: Node::Entry(index).address(),
            failure_domain: format!("domain-{index}"),
            firms: Vec::new(),
        };
        let seed = self.rng.range(0..=u64::MAX);
        #[allow(unused_mut)]
        let mut dispatcher = Dispatcher::new(info, Policy::default(), seed);
        #[cfg(feature = "mutants")]
        for mutant in &self.scenario.mutants {
            if let super::Mutant::Dispatch(mutation) = mutant {
                dispatcher.mutate(*mutation);
            }
        }
        let node = EntryNode {
            key,
            is_alive: true,
            is_stopping: false,
            clock: Clock::draw(&mut self.rng),
            dispatcher,
            copies: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_number: 0,
            swaps: BTreeMap::new(),
            offers: BTreeMap::new(),
            next_ping_us: 0,
            next_sync_us: 0,
            last_platform_us: 0,
        };
        if index < self.entries.len() {
            self.entries[index] = node;
        } else {
            self.entries.push(node);
        }
        self.record(EventKind::ProcessStarted(key));
        self.record_started_unreachable(Node::Entry(index));
        self.schedule_at(
            0,
            Node::Entry(index),
            Event::Entry(index, EntryEvent::Tick(key)),
        );
    }

    /// Returns the readings of the entry's monotonic clock, in microseconds, and wall clock, in
    /// milliseconds.
    pub(super) fn entry_time(&self, index: NodeIndex) -> (u64, u64) {
        let clock = &self.entries[index].clock;
        let now_us = self.now_us();
        (clock.monotonic_us(now_us), clock.unix_ms(now_us))
    }

    pub(super) fn entry_event(&mut self, index: NodeIndex, event: EntryEvent) {
        if !self.entries[index].is_alive {
            self.refuse_connection(index, &event);
            return;
        }
        let key = self.entries[index].key;
        match event {
            EntryEvent::ExecuteActions(of, actions) => {
                if of == key {
                    self.execute_actions(index, actions);
                }
                return;
            }
            EntryEvent::Tick(of) if of != key => return,
            _ => {}
        }
        let before = self.entries[index].dispatcher.counters().clone();
        let mut actions = Vec::new();
        self.entry_input(index, event, &mut actions);
        let (now_us, now_unix_ms) = self.entry_time(index);
        let dispatcher = &mut self.entries[index].dispatcher;
        dispatcher.poll(now_us, now_unix_ms, &mut actions);
        let after = dispatcher.counters();
        let steps = [
            (after.admitted > before.admitted, Step::Admit),
            (after.start_messages > before.start_messages, Step::Place),
            (after.tasks_finished > before.tasks_finished, Step::Collect),
            (after.resubmitted > before.resubmitted, Step::Resubmit),
            (after.takeovers > before.takeovers, Step::TakeOver),
        ];
        for (_, step) in steps.into_iter().filter(|(happened, _)| *happened) {
            self.record_step(step);
        }
        self.record_action_steps(&actions);
        if let Some(injection) = self.pending_injection.take() {
            let (process, peer) = self.involved;
            self.inject(injection, process, peer);
            if !self.entries[index].is_alive || self.entries[index].key != key {
                return;
            }
            let act = Event::Entry(index, EntryEvent::ExecuteActions(key, actions));
            self.schedule_at(0, Node::Entry(index), act);
            return;
        }
        self.execute_actions(index, actions);
    }

    fn record_action_steps(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Answer { .. } => self.record_step(Step::Answer),
                Action::HandOver { .. } => self.record_step(Step::Drain),
                _ => {}
            }
        }
    }

    fn entry_input(&mut self, index: NodeIndex, event: EntryEvent, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(index);
        let key = self.entries[index].key;
        match event {
            EntryEvent::Tick(_) => self.entry_tick(index, actions),
            EntryEvent::Copy(copy, spec) => self.accept_copy(index, copy, *spec, actions),
            EntryEvent::Cancel(job) => self.route_cancel(index, job, true, actions),
            EntryEvent::ForwardCancel(job) => self.route_cancel(index, job, false, actions),
            EntryEvent::Forward {
                from,
                reply_to,
                to,
                request,
                spec,
            } => {
                self.record_step(Step::Route);
                let waiter = Waiter::Remote {
                    entry: from,
                    key: reply_to,
                    request,
                };
                self.accept_forward(index, to, waiter, *spec, actions);
            }
            EntryEvent::ForwardReply {
                to,
                request,
                answer,
            } => {
                if to == key {
                    self.handle_reply(index, request, answer);
                }
            }
            EntryEvent::Ping(info, draining, from) => {
                let node = &mut self.entries[index];
                node.dispatcher.peer_responded(info, draining, now_us);
                let pong = EntryEvent::Pong {
                    info: node.dispatcher.info().clone(),
                    draining: node.is_stopping,
                    rules: Box::new(node.dispatcher.rules().clone()),
                    owned: node.dispatcher.owned_shards().collect(),
                };
                self.send_entry(index, from, pong);
            }
            EntryEvent::Pong {
                info,
                draining,
                rules,
                owned,
            } => {
                let dispatcher = &mut self.entries[index].dispatcher;
                dispatcher.owner_reported(&info, owned);
                dispatcher.peer_responded(info, draining, now_us);
                self.apply_rules(index, *rules);
            }
            EntryEvent::AgentEnded(process) => {
                self.entries[index].dispatcher.mark_agent_ended(process);
            }
            EntryEvent::Refused(process) => {
                self.entries[index].dispatcher.peer_refused(process);
            }
            EntryEvent::Offer {
                from,
                reply_to,
                to,
                number,
                shard,
                table,
            } => {
                let dispatcher = &mut self.entries[index].dispatcher;
                let accepted = to == key && dispatcher.accept_table(shard, *table);
                let reply = EntryEvent::OfferReply {
                    to: reply_to,
                    number,
                    accepted,
                };
                self.record_step(Step::Drain);
                self.send_entry(index, from, reply);
            }
            EntryEvent::OfferReply {
                to,
                number,
                accepted,
            } => {
                if to == key {
                    self.record_step(Step::Drain);
                    self.end_offer(index, number, accepted, now_us);
                }
            }
            EntryEvent::Announce(info) => {
                self.record_step(Step::Announce);
                self.handle_announcement(index, info, now_us);
            }
            EntryEvent::Envelope(envelope) => {
                if is_fence_answer(&envelope) {
                    self.record_step(Step::TakeOver);
                }
                let dispatcher = &mut self.entries[index].dispatcher;
                dispatcher.handle_agent_envelope(*envelope, now_us, now_unix_ms, actions);
            }
            EntryEvent::SwapReply(to, number, outcome) => {
                if to == key {
                    self.end_swap(index, number, &outcome, actions);
                }
            }
            EntryEvent::Records(snapshot) => self.apply_records(index, *snapshot, actions),
            EntryEvent::ExecuteActions(..) => {}
        }
    }

    fn entry_tick(&mut self, index: NodeIndex, actions: &mut Vec<Action>) {
        let key = self.entries[index].key;
        let now_us = self.now_us();
        if now_us >= self.entries[index].next_ping_us {
            self.entries[index].next_ping_us = now_us + PING_INTERVAL_US;
            self.ping_others(index);
        }
        if now_us >= self.entries[index].next_sync_us {
            self.entries[index].next_sync_us = now_us + SYNC_INTERVAL_US;
            self.call_platform(index, PlatformRequest::Read);
        }
        self.time_out_platform(index, actions);
        self.retry_copies(index, actions);
        self.end_stop(index);
        if !self.entries[index].is_alive {
            return;
        }
        let wait_us = self.rng.range(2_000..=MAX_TICK_US);
        let tick = Event::Entry(index, EntryEvent::Tick(key));
        self.schedule_at(wait_us, Node::Entry(index), tick);
    }

    pub(super) fn ping_others(&mut self, index: NodeIndex) {
        let node = &self.entries[index];
        let ping = EntryEvent::Ping(node.dispatcher.info().clone(), node.is_stopping, index);
        for other in (0..ENTRIES).filter(|other| *other != index) {
            self.send_entry(index, other, ping.clone());
        }
    }

    pub(super) fn send_entry(&mut self, from: NodeIndex, to: NodeIndex, event: EntryEvent) {
        let (from, node) = (Node::Entry(from), Node::Entry(to));
        self.send(from, node, Event::Entry(to, event));
    }

    /// Answers a message for an entry that is not running as refused connections do.
    fn refuse_connection(&mut self, index: NodeIndex, event: &EntryEvent) {
        let key = self.entries[index].key;
        match event {
            EntryEvent::Ping(_, _, from) => {
                self.send_entry(index, *from, EntryEvent::Refused(key));
            }
            EntryEvent::Forward {
                from,
                reply_to,
                request,
                ..
            } => {
                let reply = EntryEvent::ForwardReply {
                    to: *reply_to,
                    request: *request,
                    answer: None,
                };
                self.send_entry(index, *from, reply);
            }
            EntryEvent::Offer {
                from,
                reply_to,
                number,
                ..
            } => {
                let reply = EntryEvent::OfferReply {
                    to: *reply_to,
                    number: *number,
                    accepted: false,
                };
                self.send_entry(index, *from, reply);
            }
            EntryEvent::Copy(copy, _) => self.record_unaccepted(*copy),
            _ => {}
        }
    }

    fn handle_announcement(&mut self, index: NodeIndex, info: model::AgentInfo, now_us: u64) {
        let node = &mut self.entries[index];
        let (from, to) = (node.key, info.key);
        let agent = Node::from_address(&info.address);
        node.dispatcher.agent_announced(info, now_us);
        let rules = node.dispatcher.agent_rules().clone();
        let (Some(Node::Agent(agent)), true) = (agent, rules.revision > 0) else {
            return;
        };
        let envelope = OwnerEnvelope {
            from,
            from_address: Node::Entry(index).address(),
            to,
            messages: vec![OwnerMessage::Configure(rules)],
        };
        let event = AgentEvent::Envelope(index, Box::new(envelope));
        self.send(
            Node::Entry(index),
            Node::Agent(agent),
            Event::Agent(agent, event),
        );
    }

    fn apply_records(&mut self, index: NodeIndex, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(index);
        let true_us = self.now_us();
        let node = &mut self.entries[index];
        node.last_platform_us = true_us;
        for (record, revision) in snapshot.records {
            node.dispatcher
                .apply_record(record, revision, now_us, now_unix_ms, actions);
        }
        let Some(rules) = snapshot.rules else {
            return;
        };
        if snapshot.is_complete {
            node.dispatcher.mark_records_synced();
        }
        self.apply_rules(index, rules);
    }

    fn apply_rules(&mut self, index: NodeIndex, rules: DispatchRules) {
        let revision = rules.revision;
        let node = &mut self.entries[index];
        if node.dispatcher.apply_rules(rules) {
            let process = node.key;
            self.record_step(Step::Apply);
            self.record(EventKind::ConfigInForce { process, revision });
        }
    }

    fn end_swap(
        &mut self,
        index: NodeIndex,
        number: u64,
        outcome: &SwapOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some((shard, _)) = self.entries[index].swaps.remove(&number) else {
            return;
        };
        let (now_us, now_unix_ms) = self.entry_time(index);
        let dispatcher = &mut self.entries[index].dispatcher;
        dispatcher.compare_and_swap_done(shard, outcome, now_us, now_unix_ms, actions);
    }

    fn end_offer(&mut self, index: NodeIndex, number: u64, accepted: bool, now_us: u64) {
        let Some((shard, _)) = self.entries[index].offers.remove(&number) else {
            return;
        };
        let dispatcher = &mut self.entries[index].dispatcher;
        dispatcher.table_offer_answered(shard, accepted, now_us);
    }

    fn time_out_platform(&mut self, index: NodeIndex, actions: &mut Vec<Action>) {
        let (true_us, (now_us, _)) = (self.now_us(), self.entry_time(index));
        let node = &self.entries[index];
        let late = |(number, (_, due_us)): (&u64, &(ShardKey, u64))| {
            (*due_us <= true_us).then_some(*number)
        };
        let swaps: Vec<u64> = node.swaps.iter().filter_map(late).collect();
        let offers: Vec<u64> = node.offers.iter().filter_map(late).collect();
        for number in swaps {
            self.end_swap(index, number, &SwapOutcome::Unknown, actions);
        }
        for number in offers {
            self.end_offer(index, number, false, now_us);
        }
    }

    pub(super) fn call_platform(&mut self, index: NodeIndex, request: PlatformRequest) {
        let from = Caller::Entry(index, self.entries[index].key);
        let call = PlatformCall {
            from,
            request,
            is_answer_lost: false,
        };
        let event = Event::Platform(Box::new(call));
        self.send(Node::Entry(index), Node::Platform, event);
    }

    pub(super) fn execute_actions(&mut self, index: NodeIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, envelope } => self.send_owner(index, &address, envelope),
                Action::Answer { waiter, answer } => self.answer_waiter(index, waiter, answer),
                Action::Reroute { waiter } => self.reroute_waiter(index, waiter),
                Action::CompareAndSwap {
                    shard,
                    expected_revision,
                    record,
                } => {
                    let due_us = self.now_us() + PLATFORM_TIMEOUT_US;
                    let number = self.next_number(index);
                    self.entries[index].swaps.insert(number, (shard, due_us));
                    let request = PlatformRequest::Swap {
                        number,
                        expected_revision,
                        record,
                    };
                    self.call_platform(index, request);
                }
                Action::ReadRecord { .. } => self.call_platform(index, PlatformRequest::Read),
                Action::HandOver {
                    shard,
                    to,
                    address,
                    table,
                } => {
                    let due_us = self.now_us() + OFFER_TIMEOUT_US;
                    let number = self.next_number(index);
                    self.entries[index].offers.insert(number, (shard, due_us));
                    let Some(Node::Entry(peer)) = Node::from_address(&address) else {
                        continue;
                    };
                    let offer = EntryEvent::Offer {
                        from: index,
                        reply_to: self.entries[index].key,
                        to,
                        number,
                        shard,
                        table,
                    };
                    self.send_entry(index, peer, offer);
                }
            }
        }
    }

    pub(super) fn next_number(&mut self, index: NodeIndex) -> u64 {
        let node = &mut self.entries[index];
        node.next_number += 1;
        node.next_number
    }

    fn send_owner(&mut self, index: NodeIndex, address: &str, envelope: OwnerEnvelope) {
        let Some(Node::Agent(agent)) = Node::from_address(address) else {
            return;
        };
        self.record_starts(&envelope);
        let event = AgentEvent::Envelope(index, Box::new(envelope));
        self.send(
            Node::Entry(index),
            Node::Agent(agent),
            Event::Agent(agent, event),
        );
    }

    fn record_starts(&mut self, envelope: &OwnerEnvelope) {
        for message in &envelope.messages {
            let OwnerMessage::Start(start) = message else {
                continue;
            };
            for task in &start.tasks {
                let key = model::TaskKey {
                    job: start.job.key,
                    index: task.index,
                };
                self.record(EventKind::StartSent {
                    task: key,
                    attempt: task.attempt,
                    owner: envelope.from,
                    agent: envelope.to,
                });
            }
        }
    }
}

/// Returns whether an agent confirms a generation after the first, as happens at a takeover.
fn is_fence_answer(envelope: &AgentEnvelope) -> bool {
    let mut messages = envelope.messages.iter();
    messages.any(
        |message| matches!(message, AgentMessage::Fenced { generation, .. } if generation.0 > 1),
    )
}
