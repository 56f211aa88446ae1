//! An entry: the loop around its decisions.

use std::collections::BTreeMap;

use dispatch::{Action, DispatchRules, Dispatcher, Policy, SwapOutcome, WaiterKey};
use model::{
    AgentEnvelope, AgentMessage, EntryInfo, OwnerEnvelope, OwnerMessage, ProcessKey, ShardKey,
};

use crate::event::{CopyKey, EventKind};
use crate::world::clock::Clock;
use crate::world::message::{
    AgentEvent, Caller, EntryEvent, Event, Node, Place, PlatformCall, PlatformRequest, Snapshot,
};
use crate::world::routing::{PendingCopy, Waiter};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// Longest time between two turns of an entry's loop, in microseconds.
const MAX_TICK_US: u64 = 25_000;

/// Interval between pings to another entry, in microseconds.
const PING_INTERVAL_US: u64 = 250_000;

/// Interval between complete reads of the platform, in microseconds.
const SYNC_INTERVAL_US: u64 = 1_000_000;

/// Time after which the platform's answer is taken as lost, in microseconds.
const PLATFORM_TIMEOUT_US: u64 = 2_000_000;

/// Time after which the answer to an offer of a table is taken as lost, in microseconds.
const OFFER_TIMEOUT_US: u64 = 1_000_000;

/// An entry.
pub struct EntryNode {
    pub key: ProcessKey,
    pub alive: bool,
    pub stopping: bool,
    pub clock: Clock,
    pub dispatcher: Dispatcher,
    pub copies: BTreeMap<CopyKey, PendingCopy>,
    pub requests: BTreeMap<u64, CopyKey>,
    pub waiters: BTreeMap<WaiterKey, Waiter>,
    pub next_number: u64,
    swaps: BTreeMap<u64, (ShardKey, u64)>,
    offers: BTreeMap<u64, (ShardKey, u64)>,
    next_ping_us: u64,
    next_sync_us: u64,
    /// Time of the platform's last answer or event.
    pub heard_platform_us: u64,
}

impl EntryNode {
    /// Returns the shards that the entry owns.
    pub fn owned(&self) -> Vec<ShardKey> {
        let key = self.key;
        let owners = self.dispatcher.owners();
        owners
            .filter(|(_, owner, _)| *owner == key)
            .map(|(shard, ..)| shard)
            .collect()
    }
}

impl World {
    pub(super) fn create_entry(&mut self, place: Place) {
        let key = self.draw_key(Node::Entry(place));
        let info = EntryInfo {
            key,
            address: Node::Entry(place).address(),
            failure_domain: format!("domain-{place}"),
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
            alive: true,
            stopping: false,
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
            heard_platform_us: 0,
        };
        if place < self.entries.len() {
            self.entries[place] = node;
        } else {
            self.entries.push(node);
        }
        self.record(EventKind::ProcessStarted(key));
        self.note_started(Node::Entry(place));
        self.schedule_at(
            0,
            Node::Entry(place),
            Event::Entry(place, EntryEvent::Tick(key)),
        );
    }

    /// Returns the entry's readings of its monotonic and its wall clock.
    pub(super) fn entry_time(&self, place: Place) -> (u64, u64) {
        let clock = &self.entries[place].clock;
        let now_us = self.now_us();
        (clock.monotonic_us(now_us), clock.unix_ms(now_us))
    }

    pub(super) fn entry_event(&mut self, place: Place, event: EntryEvent) {
        if !self.entries[place].alive {
            self.refuse_connection(place, &event);
            return;
        }
        let key = self.entries[place].key;
        match event {
            EntryEvent::Act(of, actions) => {
                if of == key {
                    self.carry_out(place, actions);
                }
                return;
            }
            EntryEvent::Tick(of) if of != key => return,
            _ => {}
        }
        let before = self.entries[place].dispatcher.counters().clone();
        let mut actions = Vec::new();
        self.entry_input(place, event, &mut actions);
        let (now_us, now_unix_ms) = self.entry_time(place);
        let dispatcher = &mut self.entries[place].dispatcher;
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
            self.note(step);
        }
        self.note_actions(&actions);
        if let Some(injection) = self.during.take() {
            let (process, peer) = self.involved;
            self.inject(injection, process, peer);
            if !self.entries[place].alive || self.entries[place].key != key {
                return;
            }
            let act = Event::Entry(place, EntryEvent::Act(key, actions));
            self.schedule_at(0, Node::Entry(place), act);
            return;
        }
        self.carry_out(place, actions);
    }

    fn note_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Answer { .. } => self.note(Step::Answer),
                Action::HandOver { .. } => self.note(Step::Drain),
                _ => {}
            }
        }
    }

    fn entry_input(&mut self, place: Place, event: EntryEvent, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(place);
        let key = self.entries[place].key;
        match event {
            EntryEvent::Tick(_) => self.entry_tick(place, actions),
            EntryEvent::Copy(copy, spec) => self.accept_copy(place, copy, *spec, actions),
            EntryEvent::Cancel(job) => self.route_cancel(place, job, true, actions),
            EntryEvent::ForwardCancel(job) => self.route_cancel(place, job, false, actions),
            EntryEvent::Forward {
                from,
                reply_to,
                to,
                request,
                spec,
            } => {
                self.note(Step::Route);
                let waiter = Waiter::Remote {
                    entry: from,
                    key: reply_to,
                    request,
                };
                self.accept_forward(place, to, waiter, *spec, actions);
            }
            EntryEvent::ForwardReply {
                to,
                request,
                answer,
            } => {
                if to == key {
                    self.take_reply(place, request, answer);
                }
            }
            EntryEvent::Ping(info, draining, from) => {
                let node = &mut self.entries[place];
                node.dispatcher.peer_responded(info, draining, now_us);
                let pong = EntryEvent::Pong {
                    info: node.dispatcher.info().clone(),
                    draining: node.stopping,
                    rules: Box::new(node.dispatcher.rules().clone()),
                    owned: node.dispatcher.owned().collect(),
                };
                self.send_entry(place, from, pong);
            }
            EntryEvent::Pong {
                info,
                draining,
                rules,
                owned,
            } => {
                let dispatcher = &mut self.entries[place].dispatcher;
                dispatcher.owner_reported(&info, owned);
                dispatcher.peer_responded(info, draining, now_us);
                self.apply_rules(place, *rules);
            }
            EntryEvent::AgentEnded(process) => {
                self.entries[place].dispatcher.mark_agent_ended(process);
            }
            EntryEvent::Refused(process) => {
                self.entries[place].dispatcher.peer_refused(process);
            }
            EntryEvent::Offer {
                from,
                reply_to,
                to,
                number,
                shard,
                table,
            } => {
                let dispatcher = &mut self.entries[place].dispatcher;
                let accepted = to == key && dispatcher.accept_table(shard, *table);
                let reply = EntryEvent::OfferReply {
                    to: reply_to,
                    number,
                    accepted,
                };
                self.note(Step::Drain);
                self.send_entry(place, from, reply);
            }
            EntryEvent::OfferReply {
                to,
                number,
                accepted,
            } => {
                if to == key {
                    self.note(Step::Drain);
                    self.end_offer(place, number, accepted, now_us);
                }
            }
            EntryEvent::Announce(info) => {
                self.note(Step::Announce);
                self.take_announcement(place, info, now_us);
            }
            EntryEvent::Envelope(envelope) => {
                if is_fence_answer(&envelope) {
                    self.note(Step::TakeOver);
                }
                let dispatcher = &mut self.entries[place].dispatcher;
                dispatcher.agent_envelope(*envelope, now_us, now_unix_ms, actions);
            }
            EntryEvent::SwapReply(to, number, outcome) => {
                if to == key {
                    self.end_swap(place, number, &outcome, actions);
                }
            }
            EntryEvent::Records(snapshot) => self.take_records(place, *snapshot, actions),
            EntryEvent::Act(..) => {}
        }
    }

    fn entry_tick(&mut self, place: Place, actions: &mut Vec<Action>) {
        let key = self.entries[place].key;
        let now_us = self.now_us();
        if now_us >= self.entries[place].next_ping_us {
            self.entries[place].next_ping_us = now_us + PING_INTERVAL_US;
            self.ping_others(place);
        }
        if now_us >= self.entries[place].next_sync_us {
            self.entries[place].next_sync_us = now_us + SYNC_INTERVAL_US;
            self.call_platform(place, PlatformRequest::Read);
        }
        self.time_out_platform(place, actions);
        self.retry_copies(place, actions);
        self.end_stop(place);
        if !self.entries[place].alive {
            return;
        }
        let wait_us = self.rng.range(2_000..=MAX_TICK_US);
        let tick = Event::Entry(place, EntryEvent::Tick(key));
        self.schedule_at(wait_us, Node::Entry(place), tick);
    }

    pub(super) fn ping_others(&mut self, place: Place) {
        let node = &self.entries[place];
        let ping = EntryEvent::Ping(node.dispatcher.info().clone(), node.stopping, place);
        for other in (0..ENTRIES).filter(|other| *other != place) {
            self.send_entry(place, other, ping.clone());
        }
    }

    pub(super) fn send_entry(&mut self, from: Place, to: Place, event: EntryEvent) {
        let (from, node) = (Node::Entry(from), Node::Entry(to));
        self.send(from, node, Event::Entry(to, event));
    }

    /// Tells the sender of a message that the host refuses the connection.
    fn refuse_connection(&mut self, place: Place, event: &EntryEvent) {
        let key = self.entries[place].key;
        match event {
            EntryEvent::Ping(_, _, from) => {
                self.send_entry(place, *from, EntryEvent::Refused(key));
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
                self.send_entry(place, *from, reply);
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
                self.send_entry(place, *from, reply);
            }
            EntryEvent::Copy(copy, _) => self.lose_unaccepted(*copy),
            _ => {}
        }
    }

    fn take_announcement(&mut self, place: Place, info: model::AgentInfo, now_us: u64) {
        let node = &mut self.entries[place];
        let (from, to) = (node.key, info.key);
        let agent = Node::from_address(&info.address);
        node.dispatcher.agent_announced(info, now_us);
        let rules = node.dispatcher.agent_rules().clone();
        let (Some(Node::Agent(agent)), true) = (agent, rules.revision > 0) else {
            return;
        };
        let envelope = OwnerEnvelope {
            from,
            from_address: Node::Entry(place).address(),
            to,
            messages: vec![OwnerMessage::Configure(rules)],
        };
        let event = AgentEvent::Envelope(place, Box::new(envelope));
        self.send(
            Node::Entry(place),
            Node::Agent(agent),
            Event::Agent(agent, event),
        );
    }

    fn take_records(&mut self, place: Place, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(place);
        let true_us = self.now_us();
        let node = &mut self.entries[place];
        node.heard_platform_us = true_us;
        for (record, revision) in snapshot.records {
            node.dispatcher
                .apply_record(record, revision, now_us, now_unix_ms, actions);
        }
        let Some(rules) = snapshot.rules else {
            return;
        };
        if snapshot.whole {
            node.dispatcher.mark_records_synced();
        }
        self.apply_rules(place, rules);
    }

    fn apply_rules(&mut self, place: Place, rules: DispatchRules) {
        let revision = rules.revision;
        let node = &mut self.entries[place];
        if node.dispatcher.apply_rules(rules) {
            let process = node.key;
            self.note(Step::Apply);
            self.record(EventKind::ConfigInForce { process, revision });
        }
    }

    fn end_swap(
        &mut self,
        place: Place,
        number: u64,
        outcome: &SwapOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some((shard, _)) = self.entries[place].swaps.remove(&number) else {
            return;
        };
        let (now_us, now_unix_ms) = self.entry_time(place);
        let dispatcher = &mut self.entries[place].dispatcher;
        dispatcher.compare_and_swap_done(shard, outcome, now_us, now_unix_ms, actions);
    }

    fn end_offer(&mut self, place: Place, number: u64, accepted: bool, now_us: u64) {
        let Some((shard, _)) = self.entries[place].offers.remove(&number) else {
            return;
        };
        let dispatcher = &mut self.entries[place].dispatcher;
        dispatcher.table_offer_answered(shard, accepted, now_us);
    }

    fn time_out_platform(&mut self, place: Place, actions: &mut Vec<Action>) {
        let (true_us, (now_us, _)) = (self.now_us(), self.entry_time(place));
        let node = &self.entries[place];
        let late = |(number, (_, due_us)): (&u64, &(ShardKey, u64))| {
            (*due_us <= true_us).then_some(*number)
        };
        let swaps: Vec<u64> = node.swaps.iter().filter_map(late).collect();
        let offers: Vec<u64> = node.offers.iter().filter_map(late).collect();
        for number in swaps {
            self.end_swap(place, number, &SwapOutcome::Unknown, actions);
        }
        for number in offers {
            self.end_offer(place, number, false, now_us);
        }
    }

    pub(super) fn call_platform(&mut self, place: Place, request: PlatformRequest) {
        let from = Caller::Entry(place, self.entries[place].key);
        let call = PlatformCall {
            from,
            request,
            unanswered: false,
        };
        let event = Event::Platform(Box::new(call));
        self.send(Node::Entry(place), Node::Platform, event);
    }

    pub(super) fn carry_out(&mut self, place: Place, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, envelope } => self.send_owner(place, &address, envelope),
                Action::Answer { waiter, answer } => self.answer_waiter(place, waiter, answer),
                Action::Reroute { waiter } => self.reroute_waiter(place, waiter),
                Action::CompareAndSwap {
                    shard,
                    expected_revision,
                    record,
                } => {
                    let due_us = self.now_us() + PLATFORM_TIMEOUT_US;
                    let number = self.next_number(place);
                    self.entries[place].swaps.insert(number, (shard, due_us));
                    let request = PlatformRequest::Swap {
                        number,
                        expected_revision,
                        record,
                    };
                    self.call_platform(place, request);
                }
                Action::ReadRecord { .. } => self.call_platform(place, PlatformRequest::Read),
                Action::HandOver {
                    shard,
                    to,
                    address,
                    table,
                } => {
                    let due_us = self.now_us() + OFFER_TIMEOUT_US;
                    let number = self.next_number(place);
                    self.entries[place].offers.insert(number, (shard, due_us));
                    let Some(Node::Entry(peer)) = Node::from_address(&address) else {
                        continue;
                    };
                    let offer = EntryEvent::Offer {
                        from: place,
                        reply_to: self.entries[place].key,
                        to,
                        number,
                        shard,
                        table,
                    };
                    self.send_entry(place, peer, offer);
                }
            }
        }
    }

    pub(super) fn next_number(&mut self, place: Place) -> u64 {
        let node = &mut self.entries[place];
        node.next_number += 1;
        node.next_number
    }

    fn send_owner(&mut self, place: Place, address: &str, envelope: OwnerEnvelope) {
        let Some(Node::Agent(agent)) = Node::from_address(address) else {
            return;
        };
        self.note_starts(&envelope);
        let event = AgentEvent::Envelope(place, Box::new(envelope));
        self.send(
            Node::Entry(place),
            Node::Agent(agent),
            Event::Agent(agent, event),
        );
    }

    fn note_starts(&mut self, envelope: &OwnerEnvelope) {
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

fn is_fence_answer(envelope: &AgentEnvelope) -> bool {
    let mut messages = envelope.messages.iter();
    messages.any(
        |message| matches!(message, AgentMessage::Fenced { generation, .. } if generation.0 > 1),
    )
}
