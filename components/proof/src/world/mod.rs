//! Deterministic runs of the real decisions against fakes at their interfaces.
//!
//! A run holds entries, agents with a fake target each, a fake platform, clients and operators
//! on one event queue. All that is random comes from one seed, so a run can be repeated up to
//! any event; the occurrences noted in one run tell where the faults of the next may strike.

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
pub use scenario::{Base, Injection, MatrixFault, Occurrence, Scenario, Step, Timing};

/// Number of entries.
pub const ENTRIES: usize = 3;

/// Number of agents.
pub const AGENTS: usize = 4;

/// Time at which the first jobs are submitted, in microseconds.
const WORK_START_US: u64 = 1_500_000;

/// Time at which the last jobs but the probes are submitted, in microseconds.
const WORK_END_US: u64 = 16_000_000;

/// Time at which the base of the run happens, in microseconds.
const BASE_AT_US: u64 = 4_000_000;

/// Time by which every fault has ended, in microseconds.
const FAULTS_END_US: u64 = 18_000_000;

/// Time at which jobs must complete again, in microseconds.
const PROBES_AT_US: u64 = 28_000_000;

/// Time at which a run ends, in microseconds.
const END_US: u64 = 35_000_000;

/// One run.
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
    /// Whether targets fail tasks, break connections and are slow.
    faulty_targets: bool,
    /// Number of the event in hand.
    event: u64,
    /// A fault that strikes once the process in hand has decided.
    during: Option<Injection>,
    /// The process of the event in hand and one at the other end.
    involved: (Node, Node),
    occurrences: Vec<Occurrence>,
    violations: Vec<Violation>,
}

/// What a run left behind.
#[derive(Debug)]
pub struct Outcome {
    /// What happened.
    pub history: History,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Where steps occurred.
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
        let faulty_targets = rng.chance(0.5);
        let tight_rates = rng.chance(0.3);
        let clients = Clients::draw(&mut rng);
        let mut world = Self {
            net,
            rng,
            scenario,
            history: History::new(),
            platform: Platform::new(tight_rates),
            entries: Vec::new(),
            agents: Vec::new(),
            clients,
            keys: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            faulty_targets,
            event: 0,
            during: None,
            involved: (Node::Platform, Node::Platform),
            occurrences: Vec::new(),
            violations: Vec::new(),
        };
        for place in 0..ENTRIES {
            world.create_entry(place);
        }
        for place in 0..AGENTS {
            world.create_agent(place);
        }
        world.draw_noise();
        world.schedule_clients();
        world.net.schedule(BASE_AT_US, Event::StartBase);
        world.net.schedule(FAULTS_END_US, Event::EndNoise);
        world
    }

    /// Gives the links between entries and agents some loss and duplication.
    fn draw_noise(&mut self) {
        let levels = [0.0, 0.0, 0.01, 0.05];
        let noise = levels[self.rng.range(0..=3) as usize];
        self.set_noise(noise);
    }

    fn set_noise(&mut self, noise: f64) {
        let faults = Faults::default()
            .delay_us(500..=1_400)
            .loss(noise)
            .duplicate(noise);
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                let ends = (Node::Entry(entry).endpoint(), Node::Agent(agent).endpoint());
                self.net.set_faults(ends.0, ends.1, faults.clone());
                self.net.set_faults(ends.1, ends.0, faults.clone());
            }
        }
    }

    /// Handles the next event; returns whether there was one.
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
        self.during = None;
        let number = self.event;
        let due = self.scenario.injections.iter().copied();
        for injection in due.filter(|one| one.event == number).collect::<Vec<_>>() {
            match injection.timing {
                Timing::Before => {
                    self.inject(injection, involved.0, involved.1);
                    self.requeue(event);
                    return true;
                }
                Timing::During => self.during = Some(injection),
                Timing::After => {
                    let wait_us = self.rng.range(0..=5_000);
                    let event = Event::Inject(injection, involved.0, involved.1);
                    self.net.schedule(at_us + wait_us, event);
                }
            }
        }
        self.handle(event);
        if let Some(injection) = self.during.take() {
            self.inject(injection, involved.0, involved.1);
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Entry(place, event) => self.entry_event(place, event),
            Event::Agent(place, event) => self.agent_event(place, event),
            Event::CallEnd(end) => self.end_call(*end),
            Event::Platform(call) => self.platform_call(*call),
            Event::Client(event) => self.client_event(event),
            Event::Inject(injection, process, peer) => self.inject(injection, process, peer),
            Event::Heal(heal) => self.heal(heal),
            Event::StartBase => self.start_base(),
            Event::EndNoise => self.set_noise(0.0),
        }
    }

    /// Puts an event back, to be held or dropped if its process is paused or dead.
    fn requeue(&mut self, event: Event) {
        let now_us = self.now_us();
        let node = match &event {
            Event::Entry(place, _) => Node::Entry(*place),
            Event::Agent(place, _) => Node::Agent(*place),
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

    fn note(&mut self, step: Step) {
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
            Node::Entry(place) => self.entries[place].alive,
            Node::Agent(place) => self.agents[place].alive,
        }
    }

    fn key_of(&self, node: Node) -> Option<ProcessKey> {
        match node {
            Node::Platform => None,
            Node::Entry(place) => Some(self.entries[place].key),
            Node::Agent(place) => Some(self.agents[place].key),
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
            Self::Entry(place) => Endpoint(1 + place as u32),
            Self::Agent(place) => Endpoint(101 + place as u32),
        }
    }

    fn address(self) -> String {
        match self {
            Self::Platform => "p".to_owned(),
            Self::Entry(place) => format!("e{place}"),
            Self::Agent(place) => format!("a{place}"),
        }
    }

    fn from_address(address: &str) -> Option<Self> {
        let place = address.get(1..)?.parse().ok()?;
        match address.as_bytes().first()? {
            b'e' => Some(Self::Entry(place)),
            b'a' => Some(Self::Agent(place)),
            _ => None,
        }
    }
}
