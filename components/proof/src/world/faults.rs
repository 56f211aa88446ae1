//! Injection of faults and their ends.

use model::ProcessKey;

use crate::event::{EventKind, LossReason};
use crate::simnet::Faults;
use crate::world::message::{
    AgentEvent, Caller, EntryEvent, Event, Heal, Node, Place, PlatformRequest,
};
use crate::world::scenario::{Base, Injection, MatrixFault};
use crate::world::{AGENTS, ENTRIES, FAULTS_END_US, World};

/// Longest time of a planned stop of an entry, in microseconds.
const STOP_LIMIT_US: u64 = 8_000_000;

/// Silence of the platform from which on a stop waits for it, in microseconds.
const PLATFORM_SILENCE_US: u64 = 2_500_000;

/// Interval at which a stop past its limit looks for waiting copies, in microseconds.
const STOP_RECHECK_US: u64 = 250_000;

/// Time between the stops of a rolling replacement, in microseconds.
const REPLACE_INTERVAL_US: u64 = 3_500_000;

impl World {
    /// Returns the process that handles an event and one at the other end.
    pub(super) fn involved_in(&self, event: &Event) -> (Node, Node) {
        let other_entry = |place: Place| Node::Entry((place + 1) % ENTRIES);
        let some_agent = Node::Agent((self.event % AGENTS as u64) as usize);
        match event {
            Event::Entry(place, event) => {
                let peer = match event {
                    EntryEvent::Forward { from, .. }
                    | EntryEvent::Offer { from, .. }
                    | EntryEvent::Ping(_, _, from) => Node::Entry(*from),
                    EntryEvent::Envelope(envelope) => self.node_of(envelope.from, some_agent),
                    EntryEvent::Announce(info) => self.node_of(info.key, some_agent),
                    EntryEvent::ForwardReply { .. }
                    | EntryEvent::ForwardCancel(_)
                    | EntryEvent::OfferReply { .. } => other_entry(*place),
                    _ => some_agent,
                };
                (Node::Entry(*place), peer)
            }
            Event::Agent(place, event) => {
                let entry = Node::Entry((self.event % ENTRIES as u64) as usize);
                let peer = match event {
                    AgentEvent::Envelope(from, _) => Node::Entry(*from),
                    _ => entry,
                };
                (Node::Agent(*place), peer)
            }
            Event::CallEnd(end) => {
                let entry = Node::Entry((self.event % ENTRIES as u64) as usize);
                (Node::Agent(end.agent), entry)
            }
            Event::Platform(call) => match (&call.from, &call.request) {
                (Caller::Entry(place, _), PlatformRequest::Swap { .. }) => {
                    (Node::Entry(*place), some_agent)
                }
                (Caller::Entry(place, _), _) => (Node::Entry(*place), other_entry(*place)),
                (Caller::Operator(_), _) => (Node::Entry(0), Node::Entry(1)),
            },
            _ => (Node::Entry(0), some_agent),
        }
    }

    fn node_of(&self, key: ProcessKey, otherwise: Node) -> Node {
        self.keys.get(&key).copied().unwrap_or(otherwise)
    }

    pub(super) fn inject(&mut self, injection: Injection, process: Node, peer: Node) {
        if self.now_us() >= FAULTS_END_US {
            return;
        }
        let fault = injection.fault;
        let kind = fault.kind();
        self.record(EventKind::FaultInjected { kind, firm: None });
        match fault {
            MatrixFault::Kill => self.kill(process),
            MatrixFault::KillPeer => self.kill(peer),
            MatrixFault::Pause => self.pause(process),
            MatrixFault::PausePeer => self.pause(peer),
            MatrixFault::CutOneWay => self.cut(process, true),
            MatrixFault::CutBothWays => self.cut(process, false),
            MatrixFault::Delay => {
                self.degrade(process, &Faults::default().delay_us(500..=3_000_000));
            }
            MatrixFault::Duplicate => {
                let faults = Faults::default().duplicate(0.8);
                self.degrade(process, &faults.delay_us(500..=300_000));
            }
            MatrixFault::Reorder => {
                self.degrade(process, &Faults::default().delay_us(100..=400_000));
            }
            MatrixFault::Loss => {
                let faults = Faults::default().loss(0.4);
                self.degrade(process, &faults.delay_us(500..=1_400));
            }
            MatrixFault::PlatformDown => self.stop_platform(),
            MatrixFault::PlatformSlow => {
                self.platform.slow = true;
                let after_us = self.rng.range(2_000_000..=10_000_000);
                self.heal_after(after_us, Heal::PlatformFast);
            }
            MatrixFault::PlatformAnswerLost => {
                self.platform.loses_answers = true;
                let after_us = self.rng.range(2_000_000..=10_000_000);
                self.heal_after(after_us, Heal::PlatformAnswers);
            }
            MatrixFault::PlannedStop => self.stop(process),
            MatrixFault::RollingReplacement => {
                for place in 0..ENTRIES {
                    let after_us = 1 + place as u64 * REPLACE_INTERVAL_US;
                    self.heal_after(after_us, Heal::Replace(place));
                }
            }
        }
    }

    pub(super) fn start_base(&mut self) {
        let owner = (0..ENTRIES).find(|place| !self.entries[*place].owned().is_empty());
        let Some(place) = owner else {
            return;
        };
        match self.scenario.base {
            Base::Calm => {}
            Base::KillEntry => self.kill(Node::Entry(place)),
            Base::StopEntry => self.stop(Node::Entry(place)),
        }
    }

    fn stop(&mut self, node: Node) {
        match node {
            Node::Platform => {}
            Node::Entry(place) => self.stop_entry(place),
            Node::Agent(place) => self.stop_agent(place),
        }
    }

    fn kill(&mut self, node: Node) {
        if !self.is_alive(node) {
            return;
        }
        let Some(key) = self.key_of(node) else {
            return;
        };
        self.record(EventKind::Killed(key));
        self.net.discard(node.endpoint());
        let after_us = self.rng.range(300_000..=5_000_000);
        match node {
            Node::Platform => {}
            Node::Entry(place) => {
                self.entries[place].alive = false;
                self.lose_copies(place, LossReason::EntryDied);
                self.refuse_unread(place);
                self.heal_after(after_us, Heal::RestartEntry(place));
            }
            Node::Agent(place) => {
                self.agents[place].alive = false;
                self.heal_after(after_us, Heal::RestartAgent(place));
            }
        }
    }

    fn lose_copies(&mut self, place: Place, reason: LossReason) {
        for copy in std::mem::take(&mut self.entries[place].copies).into_keys() {
            self.record(EventKind::CopyLost { copy, reason });
            self.client_lost(copy);
        }
    }

    /// Closes the connections whose requests an entry that ended had not read.
    fn refuse_unread(&mut self, place: Place) {
        let in_transit = self.clients.in_transit.iter();
        let unread: Vec<_> = in_transit
            .filter(|(_, to)| **to == place)
            .map(|(copy, _)| *copy)
            .collect();
        for copy in unread {
            self.lose_unaccepted(copy);
        }
    }

    fn pause(&mut self, node: Node) {
        if !self.is_alive(node) {
            return;
        }
        let Some(key) = self.key_of(node) else {
            return;
        };
        self.record(EventKind::Paused(key));
        self.net.pause(node.endpoint());
        let lengths_us = [
            1_200_000..=2_600_000,
            2_600_000..=6_000_000,
            10_500_000..=13_000_000,
        ];
        let length = lengths_us[self.rng.range(0..=2) as usize].clone();
        let after_us = self.rng.range(length);
        self.heal_after(after_us, Heal::Resume(node));
    }

    /// Cuts a process off from some of the others.
    fn cut(&mut self, node: Node, one_way: bool) {
        let mut others = vec![Node::Platform];
        others.extend((0..ENTRIES).map(Node::Entry));
        others.extend((0..AGENTS).map(Node::Agent));
        others.retain(|other| *other != node);
        let whole = self.rng.chance(0.3);
        let outward = self.rng.chance(0.5);
        for other in others {
            if !whole && self.rng.chance(0.5) {
                continue;
            }
            let (one, two) = (node.endpoint(), other.endpoint());
            match (one_way, outward) {
                (false, _) => self.net.cut_both(one, two),
                (true, true) => self.net.cut(one, two),
                (true, false) => self.net.cut(two, one),
            }
        }
        self.note_unreachable(node, true);
        let after_us = self.rng.range(500_000..=13_000_000);
        self.heal_after(after_us, Heal::Links(node));
    }

    /// Replaces the behaviour of all links of a process.
    fn degrade(&mut self, node: Node, faults: &Faults) {
        for (one, two) in self.links_of(node) {
            self.net
                .set_faults(one.endpoint(), two.endpoint(), faults.clone());
        }
        self.note_unreachable(node, true);
        let after_us = self.rng.range(1_000_000..=8_000_000);
        self.heal_after(after_us, Heal::Links(node));
    }

    fn links_of(&self, node: Node) -> Vec<(Node, Node)> {
        let mut links = Vec::new();
        let entries = (0..ENTRIES).map(Node::Entry);
        let agents = (0..AGENTS).map(Node::Agent);
        for other in entries.chain(agents).filter(|other| *other != node) {
            links.extend([(node, other), (other, node)]);
        }
        links
    }

    /// Records whether configuration can reach a process, now and after a restart.
    fn note_unreachable(&mut self, node: Node, unreachable: bool) {
        let mut hit = vec![node];
        // An agent hears of configuration from the entries.
        if matches!(node, Node::Entry(_) | Node::Platform) {
            hit.extend((0..AGENTS).map(Node::Agent));
        }
        for node in hit {
            let faults = self.unreachable.entry(node).or_default();
            let before = *faults;
            *faults = match unreachable {
                true => before + 1,
                false => before.saturating_sub(1),
            };
            let (was, is) = (before > 0, *faults > 0);
            if let (true, Some(key)) = (was != is, self.key_of(node)) {
                self.record(match is {
                    true => EventKind::Unreachable(key),
                    false => EventKind::Reachable(key),
                });
            }
        }
    }

    /// Records that a process that starts is out of reach of configuration.
    pub(super) fn note_started(&mut self, node: Node) {
        let unreachable = self
            .unreachable
            .get(&node)
            .is_some_and(|faults| *faults > 0);
        if let (true, Some(key)) = (unreachable, self.key_of(node)) {
            self.record(EventKind::Unreachable(key));
        }
    }

    fn stop_platform(&mut self) {
        if self.platform.down {
            return;
        }
        self.platform.down = true;
        self.record(EventKind::PlatformDown);
        let after_us = self.rng.range(1_000_000..=12_000_000);
        self.heal_after(after_us, Heal::PlatformUp);
    }

    pub(super) fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::Resume(node) => self.resume(node),
            Heal::Links(node) => self.heal_links(node),
            Heal::PlatformUp => {
                self.platform.down = false;
                self.record(EventKind::PlatformUp);
            }
            Heal::PlatformFast => self.platform.slow = false,
            Heal::PlatformAnswers => self.platform.loses_answers = false,
            Heal::RestartEntry(place) => {
                if !self.entries[place].alive {
                    self.create_entry(place);
                }
            }
            Heal::RestartAgent(place) => {
                if !self.agents[place].alive {
                    self.create_agent(place);
                }
            }
            Heal::Replace(place) => self.stop_entry(place),
            Heal::LimitStop(place, key) => self.limit_stop(place, key),
        }
    }

    fn resume(&mut self, node: Node) {
        if !self.is_alive(node) {
            return;
        }
        if let Some(key) = self.key_of(node) {
            self.record(EventKind::Resumed(key));
        }
        self.net.resume(node.endpoint());
    }

    fn heal_links(&mut self, node: Node) {
        let usual = Faults::default().delay_us(500..=1_400);
        for (one, two) in self.links_of(node) {
            let (one, two) = (one.endpoint(), two.endpoint());
            self.net.set_faults(one, two, usual.clone());
            self.net.heal(one, two);
        }
        self.net
            .heal_both(node.endpoint(), Node::Platform.endpoint());
        self.note_unreachable(node, false);
    }

    /// Begins a planned stop of an entry.
    pub(super) fn stop_entry(&mut self, place: Place) {
        let node = &mut self.entries[place];
        if !node.alive || node.stopping {
            return;
        }
        node.stopping = true;
        node.dispatcher.drain();
        let key = node.key;
        self.record(EventKind::GracefulStop(key));
        // Others are told at once, so that none hands a shard over to this entry.
        self.ping_others(place);
        let limit = Event::Heal(Heal::LimitStop(place, key));
        self.schedule_at(STOP_LIMIT_US, Node::Entry(place), limit);
    }

    /// Ends a planned stop once nothing is in progress any more.
    pub(super) fn end_stop(&mut self, place: Place) {
        let node = &self.entries[place];
        let idle = node.copies.is_empty() && node.dispatcher.is_idle();
        if node.stopping && idle && node.dispatcher.has_released_all() {
            self.stopped(place);
        }
    }

    /// Ends a planned stop that takes too long, but cuts no copy that waits.
    fn limit_stop(&mut self, place: Place, key: ProcessKey) {
        let node = &self.entries[place];
        if !node.alive || node.key != key {
            return;
        }
        // While the platform is away a shard cannot be handed over, so the stop waits.
        let hears_platform = self.now_us() < node.heard_platform_us + PLATFORM_SILENCE_US;
        if node.copies.is_empty() && hears_platform {
            self.stopped(place);
            return;
        }
        let limit = Event::Heal(Heal::LimitStop(place, key));
        self.schedule_at(STOP_RECHECK_US, Node::Entry(place), limit);
    }

    fn stopped(&mut self, place: Place) {
        let key = self.entries[place].key;
        self.entries[place].alive = false;
        self.record(EventKind::Stopped(key));
        self.replace_stopped(place);
    }

    fn replace_stopped(&mut self, place: Place) {
        self.net.discard(Node::Entry(place).endpoint());
        self.refuse_unread(place);
        let at_us = self.now_us() + self.rng.range(200_000..=2_000_000);
        let restart = Event::Heal(Heal::RestartEntry(place));
        self.net.schedule(at_us, restart);
    }
}
