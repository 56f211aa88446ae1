//! Agents: the simulated event loop around the decisions of the `execution` package.

use std::collections::BTreeMap;

use execution::{Agent, AgentAction, AgentBuilder, CallKey};
use model::{AgentEnvelope, AgentInfo, Attempt, OwnerEnvelope, OwnerMessage, ProcessKey};
use model::{TargetInfo, TaskKey};

use crate::event::EventKind;
use crate::world::clock::Clock;
use crate::world::message::{AgentEvent, EntryEvent, Event, FollowUp, Node, NodeIndex};
use crate::world::platform::{firms, group};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// Longest time between two ticks of an agent's loop, in microseconds.
const MAX_TICK_US: u64 = 25_000;

/// Interval between announcements to the entries, in microseconds.
const ANNOUNCE_INTERVAL_US: u64 = 2_000_000;

/// Number of tasks that a target runs at the same time.
const SLOTS: u16 = 2;

/// One incarnation of an agent, with its target.
pub struct AgentNode {
    pub key: ProcessKey,
    pub is_alive: bool,
    pub is_stopping: bool,
    pub clock: Clock,
    pub agent: Agent,
    pub is_target_up: bool,
    /// Run time of this target's tasks, as a percentage of the usual one.
    pub run_time_percent: u64,
    /// Tasks in progress at the target, with the digests of their payloads.
    pub calls: BTreeMap<CallKey, (TaskKey, u64)>,
    /// Times of the submissions under which owners sent the starts of tasks.
    pub submitted: BTreeMap<(TaskKey, Attempt), u64>,
    /// Indices of the entries from which owners sent messages.
    owners: BTreeMap<ProcessKey, NodeIndex>,
    config_revision: u64,
    next_announce_us: u64,
}

impl World {
    pub(super) fn create_agent(&mut self, index: NodeIndex) {
        let node = Node::Agent(index);
        let key = self.draw_key(node);
        #[allow(unused_mut)]
        let mut builder = AgentBuilder::new(key);
        #[cfg(feature = "mutants")]
        for mutant in &self.scenario.mutants {
            if let super::Mutant::Execution(mutation) = mutant {
                builder = builder.mutation(*mutation);
            }
        }
        let slow = index == 0 && self.rng.chance(0.3) && self.has_faulty_targets;
        let created = AgentNode {
            key,
            is_alive: true,
            is_stopping: false,
            clock: Clock::draw(&mut self.rng),
            agent: builder.build(),
            is_target_up: true,
            run_time_percent: if slow { 400 } else { 100 },
            calls: BTreeMap::new(),
            submitted: BTreeMap::new(),
            owners: BTreeMap::new(),
            config_revision: 0,
            next_announce_us: 0,
        };
        if index < self.agents.len() {
            self.agents[index] = created;
        } else {
            self.agents.push(created);
        }
        self.record(EventKind::ProcessStarted(key));
        self.record_started_unreachable(Node::Agent(index));
        self.record(EventKind::TargetAnnounced(key));
        let (now_us, _) = self.agent_time(index);
        let mut actions = Vec::new();
        let info = target_info();
        self.agents[index]
            .agent
            .target_announced(now_us, info, u64::MAX, &mut actions);
        self.schedule_at(0, node, Event::Agent(index, AgentEvent::Tick(key)));
    }

    pub(super) fn agent_time(&self, index: NodeIndex) -> (u64, u64) {
        let clock = &self.agents[index].clock;
        let now_us = self.now_us();
        (clock.monotonic_us(now_us), clock.unix_ms(now_us))
    }

    pub(super) fn agent_event(&mut self, index: NodeIndex, event: AgentEvent) {
        if !self.agents[index].is_alive {
            return;
        }
        let key = self.agents[index].key;
        let mut actions = Vec::new();
        match event {
            AgentEvent::ExecuteActions(of, actions) => {
                if of == key {
                    self.execute_agent_actions(index, actions);
                }
                return;
            }
            AgentEvent::Tick(of) => {
                if of != key {
                    return;
                }
                self.agent_tick(index, &mut actions);
            }
            AgentEvent::Envelope(from, envelope) => {
                if envelope.to != key {
                    let reply = Event::Entry(from, EntryEvent::AgentEnded(envelope.to));
                    self.send(Node::Agent(index), Node::Entry(from), reply);
                }
                self.handle_owner_envelope(index, from, *envelope, &mut actions);
            }
            AgentEvent::CallDone(of, call, outcome) => {
                if of != key {
                    return;
                }
                self.record_step(Step::Finish);
                let (now_us, _) = self.agent_time(index);
                let agent = &mut self.agents[index].agent;
                agent.call_ended(now_us, call, outcome, &mut actions);
            }
            AgentEvent::TargetLeaves(of) => {
                if of == key {
                    self.handle_target_leaving(index, &mut actions);
                }
            }
            AgentEvent::TargetReturns(of) => {
                if of == key {
                    self.handle_target_return(index, &mut actions);
                }
            }
        }
        if self.agents[index].is_alive {
            self.finish_agent_turn(index, key, actions);
        }
    }

    fn finish_agent_turn(&mut self, index: NodeIndex, key: ProcessKey, actions: Vec<AgentAction>) {
        if actions
            .iter()
            .any(|action| matches!(action, AgentAction::Invoke { .. }))
        {
            self.record_step(Step::Start);
        }
        self.record_config(index);
        let Some(injection) = self.pending_injection.take() else {
            self.execute_agent_actions(index, actions);
            return;
        };
        let (process, peer) = self.involved;
        self.inject(injection, process, peer);
        if self.agents[index].is_alive && self.agents[index].key == key {
            let act = Event::Agent(index, AgentEvent::ExecuteActions(key, actions));
            self.schedule_at(0, Node::Agent(index), act);
        }
    }

    fn record_config(&mut self, index: NodeIndex) {
        let node = &mut self.agents[index];
        let revision = node.agent.config_revision();
        if revision == node.config_revision {
            return;
        }
        node.config_revision = revision;
        let process = node.key;
        self.record_step(Step::Apply);
        self.record(EventKind::ConfigInForce { process, revision });
    }

    fn agent_tick(&mut self, index: NodeIndex, actions: &mut Vec<AgentAction>) {
        let key = self.agents[index].key;
        let (now_us, now_unix_ms) = self.agent_time(index);
        let true_us = self.now_us();
        let node = &mut self.agents[index];
        node.agent.tick(now_us, now_unix_ms, actions);
        if node.is_stopping && node.agent.is_drained() {
            self.execute_agent_actions(index, std::mem::take(actions));
            self.end_agent_stop(index);
            return;
        }
        if true_us >= node.next_announce_us {
            node.next_announce_us = true_us + ANNOUNCE_INTERVAL_US;
            self.announce(index);
        }
        let wait_us = self.rng.range(2_000..=MAX_TICK_US);
        let tick = Event::Agent(index, AgentEvent::Tick(key));
        self.schedule_at(wait_us, Node::Agent(index), tick);
    }

    /// Announces the agent and its target to all entries.
    pub(super) fn announce(&mut self, index: NodeIndex) {
        let node = &self.agents[index];
        let info = AgentInfo {
            key: node.key,
            address: Node::Agent(index).address(),
            failure_domain: format!("domain-{}", index % 3),
            target: node.is_target_up.then(target_info),
            draining: node.is_stopping,
        };
        for entry in 0..ENTRIES {
            let event = Event::Entry(entry, EntryEvent::Announce(info.clone()));
            self.send(Node::Agent(index), Node::Entry(entry), event);
        }
    }

    fn handle_owner_envelope(
        &mut self,
        index: NodeIndex,
        from: NodeIndex,
        envelope: OwnerEnvelope,
        actions: &mut Vec<AgentAction>,
    ) {
        let (now_us, now_unix_ms) = self.agent_time(index);
        let node = &mut self.agents[index];
        node.owners.insert(envelope.from, from);
        if envelope.to == node.key {
            remember_submissions(node, &envelope);
        }
        node.agent.handle(now_us, now_unix_ms, envelope, actions);
    }

    fn handle_target_leaving(&mut self, index: NodeIndex, actions: &mut Vec<AgentAction>) {
        let key = self.agents[index].key;
        let (now_us, _) = self.agent_time(index);
        self.record(EventKind::TargetLeaving(key));
        let node = &mut self.agents[index];
        node.is_target_up = false;
        node.agent.target_left(now_us, actions);
        self.announce(index);
        let wait_us = self.rng.range(1_000_000..=5_000_000);
        let event = Event::Agent(index, AgentEvent::TargetReturns(key));
        self.schedule_at(wait_us, Node::Agent(index), event);
    }

    fn handle_target_return(&mut self, index: NodeIndex, actions: &mut Vec<AgentAction>) {
        let key = self.agents[index].key;
        let (now_us, _) = self.agent_time(index);
        self.record(EventKind::TargetAnnounced(key));
        let node = &mut self.agents[index];
        node.is_target_up = true;
        node.agent
            .target_announced(now_us, target_info(), u64::MAX, actions);
        self.announce(index);
    }

    /// Begins a graceful stop of an agent.
    pub(super) fn stop_agent(&mut self, index: NodeIndex) {
        let node = &mut self.agents[index];
        if !node.is_alive || node.is_stopping {
            return;
        }
        node.is_stopping = true;
        let key = node.key;
        self.record(EventKind::GracefulStop(key));
        self.record(EventKind::TargetLeaving(key));
        let (now_us, _) = self.agent_time(index);
        let mut actions = Vec::new();
        self.agents[index].agent.drain(now_us, &mut actions);
        self.execute_agent_actions(index, actions);
        self.announce(index);
    }

    fn end_agent_stop(&mut self, index: NodeIndex) {
        let node = &mut self.agents[index];
        node.is_alive = false;
        let key = node.key;
        self.record(EventKind::Stopped(key));
        self.net.discard(Node::Agent(index).endpoint());
        let at_us = self.now_us() + self.rng.range(500_000..=2_000_000);
        let restart = Event::FollowUp(FollowUp::RestartAgent(index));
        self.net.schedule(at_us, restart);
    }

    fn execute_agent_actions(&mut self, index: NodeIndex, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send(envelope) => self.send_agent_envelope(index, envelope),
                AgentAction::Invoke {
                    call,
                    task,
                    attempt,
                    payload,
                    timeout_us,
                    ..
                } => self.invoke(index, call, (task, attempt), &payload, timeout_us),
                AgentAction::Abort { call } => self.abort(index, call),
            }
        }
    }

    fn send_agent_envelope(&mut self, index: NodeIndex, envelope: AgentEnvelope) {
        let Some(&entry) = self.agents[index].owners.get(&envelope.to) else {
            return;
        };
        let event = Event::Entry(entry, EntryEvent::Envelope(Box::new(envelope)));
        self.send(Node::Agent(index), Node::Entry(entry), event);
    }
}

/// Stores the time of the submission under which each task was sent first.
fn remember_submissions(node: &mut AgentNode, envelope: &OwnerEnvelope) {
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
