//! Injection of faults, their ends, and graceful stops of entries.

use model::ProcessKey;

use crate::event::{EventKind, LossReason};
use crate::simnet::Faults;
use crate::world::message::{
    AgentEvent, Caller, EntryEvent, Event, FollowUp, Node, NodeIndex, PlatformRequest,
};
use crate::world::scenario::{BaseEvent, Injection, MatrixFault};
use crate::world::{AGENTS, ENTRIES, FAULTS_END_US, World};

/// Time limit of a graceful stop of an entry, in microseconds.
const STOP_LIMIT_US: u64 = 8_000_000;

/// Time without records from the platform after which a stop waits for it, in microseconds.
const PLATFORM_UNRESPONSIVE_US: u64 = 2_500_000;

/// Interval at which a stop past its limit checks again whether it may end, in microseconds.
const STOP_RECHECK_US: u64 = 250_000;

/// Time between the stops of a rolling replacement, in microseconds.
const REPLACE_INTERVAL_US: u64 = 3_500_000;

impl World {
    /// Returns the process that handles an event and a peer of it in that step.
    pub(super) fn involved_in(&self, event: &Event) -> (Node, Node) {
        let other_entry = |index: NodeIndex| Node::Entry((index + 1) % ENTRIES);
        let some_agent = Node::Agent((self.event % AGENTS as u64) as usize);
        match event {
            Event::Entry(index, event) => {
                let peer = match event {
                    EntryEvent::Forward { from, .. }
                    | EntryEvent::Offer { from, .. }
                    | EntryEvent::Ping(_, _, from) => Node::Entry(*from),
                    EntryEvent::Envelope(envelope) => self.node_of(envelope.from, some_agent),
                    EntryEvent::Announce(info) => self.node_of(info.key, some_agent),
                    EntryEvent::ForwardReply { .. }
                    | EntryEvent::ForwardCancel(_)
                    | EntryEvent::OfferReply { .. } => other_entry(*index),
                    _ => some_agent,
                };
                (Node::Entry(*index), peer)
            }
            Event::Agent(index, event) => {
                let entry = Node::Entry((self.event % ENTRIES as u64) as usize);
                let peer = match event {
                    AgentEvent::Envelope(from, _) => Node::Entry(*from),
                    _ => entry,
                };
                (Node::Agent(*index), peer)
            }
            Event::CallEnd(end) => {
                let entry = Node::Entry((self.event % ENTRIES as u64) as usize);
                (Node::Agent(end.agent), entry)
            }
            Event::Platform(call) => match (&call.from, &call.request) {
                (Caller::Entry(index, _), PlatformRequest::Swap { .. }) => {
                    (Node::Entry(*index), some_agent)
                }
                (Caller::Entry(index, _), _) => (Node::Entry(*index), other_entry(*index)),
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
                self.platform.is_slow = true;
                let after_us = self.rng.range(2_000_000..=10_000_000);
                self.schedule_follow_up(after_us, FollowUp::PlatformFast);
            }
            MatrixFault::PlatformAnswerLost => {
                self.platform.is_losing_answers = true;
                let after_us = self.rng.range(2_000_000..=10_000_000);
                self.schedule_follow_up(after_us, FollowUp::PlatformAnswers);
            }
            MatrixFault::PlannedStop => self.stop(process),
            MatrixFault::RollingReplacement => {
                for index in 0..ENTRIES {
                    let after_us = 1 + index as u64 * REPLACE_INTERVAL_US;
                    self.schedule_follow_up(after_us, FollowUp::Replace(index));
                }
            }
        }
    }

    pub(super) fn apply_base_event(&mut self) {
        let owner = (0..ENTRIES).find(|index| !self.entries[*index].owned().is_empty());
        let Some(index) = owner else {
            return;
        };
        match self.scenario.base_event {
            BaseEvent::Calm => {}
            BaseEvent::KillEntry => self.kill(Node::Entry(index)),
            BaseEvent::StopEntry => self.stop(Node::Entry(index)),
        }
    }

    fn stop(&mut self, node: Node) {
        match node {
            Node::Platform => {}
            Node::Entry(index) => self.stop_entry(index),
            Node::Agent(index) => self.stop_agent(index),
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
            Node::Entry(index) => {
                self.entries[index].is_alive = false;
                self.record_lost_copies(index, LossReason::EntryDied);
                self.refuse_unread(index);
                self.schedule_follow_up(after_us, FollowUp::RestartEntry(index));
            }
            Node::Agent(index) => {
                self.agents[index].is_alive = false;
                self.schedule_follow_up(after_us, FollowUp::RestartAgent(index));
            }
        }
    }

    fn record_lost_copies(&mut self, index: NodeIndex, reason: LossReason) {
        for copy in std::mem::take(&mut self.entries[index].copies).into_keys() {
            self.record(EventKind::CopyLost { copy, reason });
            self.client_lost(copy);
        }
    }

    /// Closes the connections whose requests an entry had not read when it ended.
    fn refuse_unread(&mut self, index: NodeIndex) {
        let in_transit = self.clients.in_transit.iter();
        let unread: Vec<_> = in_transit
            .filter(|(_, to)| **to == index)
            .map(|(copy, _)| *copy)
            .collect();
        for copy in unread {
            self.record_unaccepted(copy);
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
        self.schedule_follow_up(after_us, FollowUp::Resume(node));
    }

    /// Cuts the links of a process to all others, or to a random part of them.
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
        self.update_reachability(node, true);
        let after_us = self.rng.range(500_000..=13_000_000);
        self.schedule_follow_up(after_us, FollowUp::Links(node));
    }

    /// Sets faults on the links of a process to all entries and agents.
    fn degrade(&mut self, node: Node, faults: &Faults) {
        for (one, two) in self.links_of(node) {
            self.net
                .set_faults(one.endpoint(), two.endpoint(), faults.clone());
        }
        self.update_reachability(node, true);
        let after_us = self.rng.range(1_000_000..=8_000_000);
        self.schedule_follow_up(after_us, FollowUp::Links(node));
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

    /// Updates the number of faults that keep configuration from a process, and records a change.
    fn update_reachability(&mut self, node: Node, unreachable: bool) {
        let mut hit = vec![node];
        // Agents receive configuration from the entries.
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

    /// Records a process as unreachable if it starts while a fault keeps configuration from it.
    pub(super) fn record_started_unreachable(&mut self, node: Node) {
        let unreachable = self
            .unreachable
            .get(&node)
            .is_some_and(|faults| *faults > 0);
        if let (true, Some(key)) = (unreachable, self.key_of(node)) {
            self.record(EventKind::Unreachable(key));
        }
    }

    fn stop_platform(&mut self) {
        if self.platform.is_down {
            return;
        }
        self.platform.is_down = true;
        self.record(EventKind::PlatformDown);
        let after_us = self.rng.range(1_000_000..=12_000_000);
        self.schedule_follow_up(after_us, FollowUp::PlatformUp);
    }

    pub(super) fn run_follow_up(&mut self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Resume(node) => self.resume(node),
            FollowUp::Links(node) => self.heal_links(node),
            FollowUp::PlatformUp => {
                self.platform.is_down = false;
                self.record(EventKind::PlatformUp);
            }
            FollowUp::PlatformFast => self.platform.is_slow = false,
            FollowUp::PlatformAnswers => self.platform.is_losing_answers = false,
            FollowUp::RestartEntry(index) => {
                if !self.entries[index].is_alive {
                    self.create_entry(index);
                }
            }
            FollowUp::RestartAgent(index) => {
                if !self.agents[index].is_alive {
                    self.create_agent(index);
                }
            }
            FollowUp::Replace(index) => self.stop_entry(index),
            FollowUp::EnforceStopLimit(index, key) => self.enforce_stop_limit(index, key),
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
        self.update_reachability(node, false);
    }

    /// Begins a graceful stop of an entry.
    pub(super) fn stop_entry(&mut self, index: NodeIndex) {
        let node = &mut self.entries[index];
        if !node.is_alive || node.is_stopping {
            return;
        }
        node.is_stopping = true;
        node.dispatcher.drain();
        let key = node.key;
        self.record(EventKind::GracefulStop(key));
        // The other entries are informed at once, so that none hands a shard over to this entry.
        self.ping_others(index);
        let limit = Event::FollowUp(FollowUp::EnforceStopLimit(index, key));
        self.schedule_at(STOP_LIMIT_US, Node::Entry(index), limit);
    }

    /// Ends a graceful stop once no work is in progress and all shards are released.
    pub(super) fn end_stop(&mut self, index: NodeIndex) {
        let node = &self.entries[index];
        let idle = node.copies.is_empty() && node.dispatcher.is_idle();
        if node.is_stopping && idle && node.dispatcher.has_released_all() {
            self.stopped(index);
        }
    }

    /// Ends a graceful stop past its time limit, unless copies are unanswered or the platform does
    /// not respond.
    fn enforce_stop_limit(&mut self, index: NodeIndex, key: ProcessKey) {
        let node = &self.entries[index];
        if !node.is_alive || node.key != key {
            return;
        }
        // Shards cannot be handed over while the platform is unavailable, so the stop continues.
        let is_platform_responding =
            self.now_us() < node.last_platform_us + PLATFORM_UNRESPONSIVE_US;
        if node.copies.is_empty() && is_platform_responding {
            self.stopped(index);
            return;
        }
        let limit = Event::FollowUp(FollowUp::EnforceStopLimit(index, key));
        self.schedule_at(STOP_RECHECK_US, Node::Entry(index), limit);
    }

    fn stopped(&mut self, index: NodeIndex) {
        let key = self.entries[index].key;
        self.entries[index].is_alive = false;
        self.record(EventKind::Stopped(key));
        self.replace_stopped(index);
    }

    fn replace_stopped(&mut self, index: NodeIndex) {
        self.net.discard(Node::Entry(index).endpoint());
        self.refuse_unread(index);
        let at_us = self.now_us() + self.rng.range(200_000..=2_000_000);
        let restart = Event::FollowUp(FollowUp::RestartEntry(index));
        self.net.schedule(at_us, restart);
    }
}
