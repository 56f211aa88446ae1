//! An agent: the loop around its decisions.

use std::collections::BTreeMap;

use execution::{Agent, AgentAction, AgentBuilder, CallKey};
use model::{AgentEnvelope, AgentInfo, Attempt, OwnerEnvelope, OwnerMessage, ProcessKey};
use model::{TargetInfo, TaskKey};

use crate::event::EventKind;
use crate::world::clock::Clock;
use crate::world::message::{AgentEvent, EntryEvent, Event, Heal, Node, Place};
use crate::world::platform::{firms, group};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// Longest time between two turns of an agent's loop, in microseconds.
const MAX_TICK_US: u64 = 25_000;

/// Interval between announcements to the entries, in microseconds.
const ANNOUNCE_INTERVAL_US: u64 = 2_000_000;

/// Tasks that a target runs at the same time.
const SLOTS: u16 = 2;

/// An agent with its target.
pub struct AgentNode {
    pub key: ProcessKey,
    pub alive: bool,
    pub stopping: bool,
    pub clock: Clock,
    pub agent: Agent,
    pub target_up: bool,
    /// Run time of this target's tasks, in percent of the usual one.
    pub run_percent: u64,
    pub calls: BTreeMap<CallKey, (TaskKey, u64)>,
    /// Submission times by which started tasks were sent.
    pub submitted: BTreeMap<(TaskKey, Attempt), u64>,
    owners: BTreeMap<ProcessKey, Place>,
    config_revision: u64,
    next_announce_us: u64,
}

impl World {
    pub(super) fn create_agent(&mut self, place: Place) {
        let node = Node::Agent(place);
        let key = self.draw_key(node);
        #[allow(unused_mut)]
        let mut builder = AgentBuilder::new(key);
        #[cfg(feature = "mutants")]
        for mutant in &self.scenario.mutants {
            if let super::Mutant::Execution(mutation) = mutant {
                builder = builder.mutation(*mutation);
            }
        }
        let slow = place == 0 && self.rng.chance(0.3) && self.faulty_targets;
        let created = AgentNode {
            key,
            alive: true,
            stopping: false,
            clock: Clock::draw(&mut self.rng),
            agent: builder.build(),
            target_up: true,
            run_percent: if slow { 400 } else { 100 },
            calls: BTreeMap::new(),
            submitted: BTreeMap::new(),
            owners: BTreeMap::new(),
            config_revision: 0,
            next_announce_us: 0,
        };
        if place < self.agents.len() {
            self.agents[place] = created;
        } else {
            self.agents.push(created);
        }
        self.record(EventKind::ProcessStarted(key));
        self.note_started(Node::Agent(place));
        self.record(EventKind::TargetAnnounced(key));
        let (now_us, _) = self.agent_time(place);
        let mut actions = Vec::new();
        let info = target_info();
        self.agents[place]
            .agent
            .target_announced(now_us, info, u64::MAX, &mut actions);
        self.schedule_at(0, node, Event::Agent(place, AgentEvent::Tick(key)));
    }

    pub(super) fn agent_time(&self, place: Place) -> (u64, u64) {
        let clock = &self.agents[place].clock;
        let now_us = self.now_us();
        (clock.monotonic_us(now_us), clock.unix_ms(now_us))
    }

    pub(super) fn agent_event(&mut self, place: Place, event: AgentEvent) {
        if !self.agents[place].alive {
            return;
        }
        let key = self.agents[place].key;
        let mut actions = Vec::new();
        match event {
            AgentEvent::Act(of, actions) => {
                if of == key {
                    self.carry_out_agent(place, actions);
                }
                return;
            }
            AgentEvent::Tick(of) => {
                if of != key {
                    return;
                }
                self.agent_tick(place, &mut actions);
            }
            AgentEvent::Envelope(from, envelope) => {
                if envelope.to != key {
                    let told = Event::Entry(from, EntryEvent::AgentEnded(envelope.to));
                    self.send(Node::Agent(place), Node::Entry(from), told);
                }
                self.take_owner_envelope(place, from, *envelope, &mut actions);
            }
            AgentEvent::CallDone(of, call, outcome) => {
                if of != key {
                    return;
                }
                self.note(Step::Finish);
                let (now_us, _) = self.agent_time(place);
                let agent = &mut self.agents[place].agent;
                agent.call_ended(now_us, call, outcome, &mut actions);
            }
            AgentEvent::TargetLeaves(of) => {
                if of == key {
                    self.leave_target(place, &mut actions);
                }
            }
            AgentEvent::TargetReturns(of) => {
                if of == key {
                    self.return_target(place, &mut actions);
                }
            }
        }
        if self.agents[place].alive {
            self.finish_agent_turn(place, key, actions);
        }
    }

    fn finish_agent_turn(&mut self, place: Place, key: ProcessKey, actions: Vec<AgentAction>) {
        if actions
            .iter()
            .any(|action| matches!(action, AgentAction::Invoke { .. }))
        {
            self.note(Step::Start);
        }
        self.note_config(place);
        let Some(injection) = self.during.take() else {
            self.carry_out_agent(place, actions);
            return;
        };
        let (process, peer) = self.involved;
        self.inject(injection, process, peer);
        if self.agents[place].alive && self.agents[place].key == key {
            let act = Event::Agent(place, AgentEvent::Act(key, actions));
            self.schedule_at(0, Node::Agent(place), act);
        }
    }

    fn note_config(&mut self, place: Place) {
        let node = &mut self.agents[place];
        let revision = node.agent.config_revision();
        if revision == node.config_revision {
            return;
        }
        node.config_revision = revision;
        let process = node.key;
        self.note(Step::Apply);
        self.record(EventKind::ConfigInForce { process, revision });
    }

    fn agent_tick(&mut self, place: Place, actions: &mut Vec<AgentAction>) {
        let key = self.agents[place].key;
        let (now_us, now_unix_ms) = self.agent_time(place);
        let true_us = self.now_us();
        let node = &mut self.agents[place];
        node.agent.tick(now_us, now_unix_ms, actions);
        if node.stopping && node.agent.is_idle() {
            self.carry_out_agent(place, std::mem::take(actions));
            self.end_agent_stop(place);
            return;
        }
        if true_us >= node.next_announce_us {
            node.next_announce_us = true_us + ANNOUNCE_INTERVAL_US;
            self.announce(place);
        }
        let wait_us = self.rng.range(2_000..=MAX_TICK_US);
        let tick = Event::Agent(place, AgentEvent::Tick(key));
        self.schedule_at(wait_us, Node::Agent(place), tick);
    }

    /// Tells all entries about the agent and its target.
    pub(super) fn announce(&mut self, place: Place) {
        let node = &self.agents[place];
        let info = AgentInfo {
            key: node.key,
            address: Node::Agent(place).address(),
            failure_domain: format!("domain-{}", place % 3),
            target: node.target_up.then(target_info),
            draining: node.stopping,
        };
        for entry in 0..ENTRIES {
            let event = Event::Entry(entry, EntryEvent::Announce(info.clone()));
            self.send(Node::Agent(place), Node::Entry(entry), event);
        }
    }

    fn take_owner_envelope(
        &mut self,
        place: Place,
        from: Place,
        envelope: OwnerEnvelope,
        actions: &mut Vec<AgentAction>,
    ) {
        let (now_us, now_unix_ms) = self.agent_time(place);
        let node = &mut self.agents[place];
        node.owners.insert(envelope.from, from);
        if envelope.to == node.key {
            note_submitted(node, &envelope);
        }
        node.agent.handle(now_us, now_unix_ms, envelope, actions);
    }

    fn leave_target(&mut self, place: Place, actions: &mut Vec<AgentAction>) {
        let key = self.agents[place].key;
        let (now_us, _) = self.agent_time(place);
        self.record(EventKind::TargetLeaving(key));
        let node = &mut self.agents[place];
        node.target_up = false;
        node.agent.target_left(now_us, actions);
        self.announce(place);
        let wait_us = self.rng.range(1_000_000..=5_000_000);
        let event = Event::Agent(place, AgentEvent::TargetReturns(key));
        self.schedule_at(wait_us, Node::Agent(place), event);
    }

    fn return_target(&mut self, place: Place, actions: &mut Vec<AgentAction>) {
        let key = self.agents[place].key;
        let (now_us, _) = self.agent_time(place);
        self.record(EventKind::TargetAnnounced(key));
        let node = &mut self.agents[place];
        node.target_up = true;
        node.agent
            .target_announced(now_us, target_info(), u64::MAX, actions);
        self.announce(place);
    }

    /// Begins a planned stop of an agent.
    pub(super) fn stop_agent(&mut self, place: Place) {
        let node = &mut self.agents[place];
        if !node.alive || node.stopping {
            return;
        }
        node.stopping = true;
        let key = node.key;
        self.record(EventKind::GracefulStop(key));
        self.record(EventKind::TargetLeaving(key));
        let (now_us, _) = self.agent_time(place);
        let mut actions = Vec::new();
        self.agents[place].agent.drain(now_us, &mut actions);
        self.carry_out_agent(place, actions);
        self.announce(place);
    }

    fn end_agent_stop(&mut self, place: Place) {
        let node = &mut self.agents[place];
        node.alive = false;
        let key = node.key;
        self.record(EventKind::Stopped(key));
        self.net.discard(Node::Agent(place).endpoint());
        let at_us = self.now_us() + self.rng.range(500_000..=2_000_000);
        let restart = Event::Heal(Heal::RestartAgent(place));
        self.net.schedule(at_us, restart);
    }

    fn carry_out_agent(&mut self, place: Place, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send(envelope) => self.send_agent_envelope(place, envelope),
                AgentAction::Invoke {
                    call,
                    task,
                    attempt,
                    payload,
                    timeout_us,
                    ..
                } => self.invoke(place, call, (task, attempt), &payload, timeout_us),
                AgentAction::Abort { call } => self.abort(place, call),
            }
        }
    }

    fn send_agent_envelope(&mut self, place: Place, envelope: AgentEnvelope) {
        let Some(&entry) = self.agents[place].owners.get(&envelope.to) else {
            return;
        };
        let event = Event::Entry(entry, EntryEvent::Envelope(Box::new(envelope)));
        self.send(Node::Agent(place), Node::Entry(entry), event);
    }
}

/// Remembers under which submissions tasks were sent.
fn note_submitted(node: &mut AgentNode, envelope: &OwnerEnvelope) {
    for message in &envelope.messages {
        let OwnerMessage::Start(start) = message else {
            continue;
        };
        for task in &start.tasks {
            let key = TaskKey {
                job: start.job.key,
                index: task.index,
            };
            let at = (key, task.attempt);
            node.submitted
                .entry(at)
                .or_insert(start.job.submitted_unix_ms);
        }
    }
}

fn target_info() -> TargetInfo {
    TargetInfo {
        group: group(),
        firms: firms().to_vec(),
        slots: SLOTS,
        connections: 16,
    }
}
