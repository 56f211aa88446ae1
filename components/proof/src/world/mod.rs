//! Deterministic simulation of the system: the real decisions of entries and agents, with
//! simulated targets, platform, clients, operators, clocks and network.
//!
//! All processes of a run share one event queue, and all random choices come from one seed. A run
//! can therefore be repeated up to any event: the occurrences of steps recorded in one run give the
//! events at which faults are injected into the next.

mod agent;
mod calls;
mod client;
mod clock;
mod entry;
mod faults;
mod message;
mod operator;
mod platform;
mod routing;
mod scenario;

use std::collections::BTreeMap;

use model::ProcessKey;

use crate::check::{Bounds, Violation, check_all};
use crate::event::EventKind;
use crate::history::History;
use crate::seed::SeededRng;
use crate::simnet::{Endpoint, Faults, Net};
use crate::world::agent::AgentNode;
use crate::world::client::Clients;
use crate::world::entry::EntryNode;
use crate::world::message::{Event, Node};
use crate::world::platform::Platform;

#[cfg(feature = "mutants")]
pub use scenario::Mutant;
pub use scenario::{BaseEvent, Injection, MatrixFault, Occurrence, Scenario, Step, Timing};

/// Number of entries.
pub const ENTRIES: usize = 3;

/// Number of agents.
pub const AGENTS: usize = 4;

/// Time at which the first jobs are submitted, in microseconds.
const WORK_START_US: u64 = 1_500_000;

/// Time at which the last jobs other than probes are submitted, in microseconds.
const WORK_END_US: u64 = 16_000_000;

/// Time of the base event of the run, in microseconds.
const BASE_EVENT_AT_US: u64 = 4_000_000;

/// Time by which every fault has ended, in microseconds.
const FAULTS_END_US: u64 = 18_000_000;

/// Time from which the probes are submitted, in microseconds.
const PROBES_AT_US: u64 = 28_000_000;

/// Time at which a run ends, in microseconds.
const END_US: u64 = 35_000_000;

/// A simulated run.
pub struct World {
    net: Net<Event>,
    rng: SeededRng,
    scenario: Scenario,
    history: History,
    platform: Platform,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    clients: Clients,
    keys: BTreeMap<ProcessKey, Node>,
    /// Number of faults that keep configuration from a process.
    unreachable: BTreeMap<Node, u32>,
    /// Whether targets fail tasks, reset connections and are slow.
    has_faulty_targets: bool,
    /// Number of the current event.
    event: u64,
    /// A fault to inject once the process of the current event has decided.
    pending_injection: Option<Injection>,
    /// The process of the current event and a peer of it.
    involved: (Node, Node),
    occurrences: Vec<Occurrence>,
    violations: Vec<Violation>,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The recorded events.
    pub history: History,
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Occurrences of steps.
    pub occurrences: Vec<Occurrence>,
}

/// Runs a scenario and checks its history.
#[must_use]
pub fn run(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    while world.step() {}
    world.finish()
}

impl World {
    /// Creates a run at time zero.
    #[must_use]
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = SeededRng::new(scenario.seed);
        let mut net = Net::new(scenario.seed ^ 0x5eed);
        net.set_default_faults(Faults::default().delay_us(500..=1_400));
        let has_faulty_targets = rng.chance(0.5);
        let has_tight_rates = rng.chance(0.3);
        let clients = Clients::draw(&mut rng);
        let mut world = Self {
            net,
            rng,
            scenario,
            history: History::new(),
            platform: Platform::new(has_tight_rates),
            entries: Vec::new(),
            agents: Vec::new(),
            clients,
            keys: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            has_faulty_targets,
            event: 0,
            pending_injection: None,
            involved: (Node::Platform, Node::Platform),
            occurrences: Vec::new(),
            violations: Vec::new(),
        };
        for index in 0..ENTRIES {
            world.create_entry(index);
        }
        for index in 0..AGENTS {
            world.create_agent(index);
        }
        world.draw_background_faults();
        world.schedule_clients();
        world.net.schedule(BASE_EVENT_AT_US, Event::Base);
        world
            .net
            .schedule(FAULTS_END_US, Event::EndBackgroundFaults);
        world
    }

    /// Draws the probability of background losses and duplicates between entries and agents.
    fn draw_background_faults(&mut self) {
        let levels = [0.0, 0.0, 0.01, 0.05];
        let probability = levels[self.rng.range(0..=3) as usize];
        self.set_background_faults(probability);
    }

    fn set_background_faults(&mut self, probability: f64) {
        let faults = Faults::default()
            .delay_us(500..=1_400)
            .loss(probability)
            .duplicate(probability);
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                let ends = (Node::Entry(entry).endpoint(), Node::Agent(agent).endpoint());
                self.net.set_faults(ends.0, ends.1, faults.clone());
                self.net.set_faults(ends.1, ends.0, faults.clone());
            }
        }
    }

    /// Handles the next event; returns `false` at the end of the run.
    pub fn step(&mut self) -> bool {
        let Some((at_us, event)) = self.net.pop() else {
            return false;
        };
        if at_us > END_US {
            return false;
        }
        self.event += 1;
        let involved = self.involved_in(&event);
        self.involved = involved;
        self.pending_injection = None;
        let number = self.event;
        let due = self.scenario.injections.iter().copied();
        for injection in due.filter(|one| one.event == number).collect::<Vec<_>>() {
            match injection.timing {
                Timing::Before => {
                    self.inject(injection, involved.0, involved.1);
                    self.requeue(event);
                    return true;
                }
                Timing::During => self.pending_injection = Some(injection),
                Timing::After => {
                    let wait_us = self.rng.range(0..=5_000);
                    let event = Event::Inject(injection, involved.0, involved.1);
                    self.net.schedule(at_us + wait_us, event);
                }
            }
        }
        self.handle(event);
        if let Some(injection) = self.pending_injection.take() {
            self.inject(injection, involved.0, involved.1);
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Entry(index, event) => self.entry_event(index, event),
            Event::Agent(index, event) => self.agent_event(index, event),
            Event::CallEnd(end) => self.end_call(*end),
            Event::Platform(call) => self.platform_call(*call),
            Event::Client(event) => self.client_event(event),
            Event::Inject(injection, process, peer) => self.inject(injection, process, peer),
            Event::FollowUp(follow_up) => self.run_follow_up(follow_up),
            Event::Base => self.apply_base_event(),
            Event::EndBackgroundFaults => self.set_background_faults(0.0),
        }
    }

    /// Queues an event again after a fault: it is held if its process is paused and dropped if the
    /// process was killed.
    fn requeue(&mut self, event: Event) {
        let now_us = self.now_us();
        let node = match &event {
            Event::Entry(index, _) => Node::Entry(*index),
            Event::Agent(index, _) => Node::Agent(*index),
            _ => return self.net.schedule(now_us, event),
        };
        if self.is_alive(node) {
            self.net.schedule_at(now_us, node.endpoint(), event);
        }
    }

    /// Ends the run and checks its history.
    #[must_use]
    pub fn finish(mut self) -> Outcome {
        let at_us = END_US.max(self.history.end_us());
        self.history.record(at_us, EventKind::Ended);
        let mut violations = check_all(&self.history, &Bounds::default());
        violations.append(&mut self.violations);
        violations.extend(self.check_probes());
        Outcome {
            history: self.history,
            violations,
            occurrences: self.occurrences,
        }
    }

    fn now_us(&self) -> u64 {
        self.net.now_us()
    }

    fn record(&mut self, kind: EventKind) {
        self.history.record(self.net.now_us(), kind);
    }

    fn record_step(&mut self, step: Step) {
        let at_us = self.now_us();
        self.occurrences.push(Occurrence {
            step,
            event: self.event,
            at_us,
        });
    }

    fn draw_key(&mut self, node: Node) -> ProcessKey {
        let key = ProcessKey(self.rng.range(1..=u64::MAX));
        self.keys.insert(key, node);
        key
    }

    fn is_alive(&self, node: Node) -> bool {
        match node {
            Node::Platform => true,
            Node::Entry(index) => self.entries[index].is_alive,
            Node::Agent(index) => self.agents[index].is_alive,
        }
    }

    fn key_of(&self, node: Node) -> Option<ProcessKey> {
        match node {
            Node::Platform => None,
            Node::Entry(index) => Some(self.entries[index].key),
            Node::Agent(index) => Some(self.agents[index].key),
        }
    }

    fn send(&mut self, from: Node, to: Node, event: Event) {
        let now_us = self.now_us();
        self.net.send(now_us, from.endpoint(), to.endpoint(), event);
    }

    /// Schedules an event of a process itself.
    fn schedule_at(&mut self, after_us: u64, node: Node, event: Event) {
        let at_us = self.now_us() + after_us;
        self.net.schedule_at(at_us, node.endpoint(), event);
    }
}

impl Node {
    fn endpoint(self) -> Endpoint {
        match self {
            Self::Platform => Endpoint(0),
            Self::Entry(index) => Endpoint(1 + index as u32),
            Self::Agent(index) => Endpoint(101 + index as u32),
        }
    }

    fn address(self) -> String {
        match self {
            Self::Platform => "p".to_owned(),
            Self::Entry(index) => format!("e{index}"),
            Self::Agent(index) => format!("a{index}"),
        }
    }

    fn from_address(address: &str) -> Option<Self> {
        let index = address.get(1..)?.parse().ok()?;
        match address.as_bytes().first()? {
            b'e' => Some(Self::Entry(index)),
            b'a' => Some(Self::Agent(index)),
            _ => None,
        }
    }
}
