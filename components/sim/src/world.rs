//! The world: its clock, its nodes, and its links.

use std::collections::BinaryHeap;

use model::TaskRef;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use scheduling::PlacementRule;

use crate::agent::AgentNode;
use crate::client::{ClientJob, Load, draw_job};
use crate::entry::EntryNode;
use crate::event::{Event, Scheduled};
use crate::fault::Fault;
use crate::report::{KindReport, Report, Violation};
use crate::target::TargetSpec;

/// Time after the load during which jobs may end, in milliseconds.
const SETTLE_MS: u64 = 8_000;

/// Time before the load during which processes find each other, in milliseconds.
pub(crate) const LEAD_MS: u64 = 1_000;

/// What there is.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Number of entries.
    pub entries: usize,
    /// The targets; each has an agent.
    pub targets: Vec<TargetSpec>,
    /// One-way delay between processes, in microseconds: least and most.
    pub delay_us: (u64, u64),
    /// By which rule entries place tasks.
    pub rule: PlacementRule,
}

/// A link from an entry to a host.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    pub(crate) epoch: u64,
    pub(crate) is_connected: bool,
    pub(crate) orders_call: Option<u64>,
    pub(crate) update_call: Option<u64>,
}

/// The world.
pub struct World {
    pub(crate) now_us: u64,
    pub(crate) rng: SmallRng,
    pub(crate) deployment: Deployment,
    pub(crate) load: Load,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) links: Vec<Vec<Link>>,
    pub(crate) jobs: Vec<ClientJob>,
    pub(crate) job_of: FxHashMap<model::CallerId, usize>,
    pub(crate) running: FxHashMap<TaskRef, Vec<(usize, u64)>>,
    pub(crate) report: Report,
    pub(crate) next_call: u64,
    queue: BinaryHeap<Scheduled>,
    next_order: u64,
    load_ms: u64,
}

impl World {
    /// Creates a world.
    #[must_use]
    pub fn new(deployment: Deployment, load: Load, load_ms: u64, seed: u64) -> Self {
        let kinds = load.kinds.iter().map(|kind| KindReport {
            name: kind.name,
            ..KindReport::default()
        });
        let report = Report {
            kinds: kinds.collect(),
            ..Report::default()
        };
        let hosts = deployment.targets.len();
        let mut world = Self {
            now_us: 0,
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            links: vec![vec![Link::default(); hosts]; deployment.entries],
            jobs: Vec::new(),
            job_of: FxHashMap::default(),
            running: FxHashMap::default(),
            report,
            next_call: 0,
            queue: BinaryHeap::new(),
            next_order: 0,
            load_ms,
            deployment,
            load,
        };
        for host in 0..hosts {
            world.create_agent(host);
        }
        for entry in 0..world.deployment.entries {
            world.create_entry(entry);
        }
        world
    }

    /// Runs the load with faults and returns what it showed.
    #[must_use]
    pub fn run(mut self, faults: &[Fault]) -> Report {
        for fault in faults {
            let at_us = (LEAD_MS + fault.at_ms) * 1_000;
            self.schedule_at(at_us, Event::Fault(fault.clone()));
            let until_us = at_us + fault.for_ms * 1_000;
            self.schedule_at(until_us, Event::Heal(fault.clone()));
        }
        self.draw_load();
        let end_us = (LEAD_MS + self.load_ms + SETTLE_MS) * 1_000;
        while let Some(next) = self.queue.pop() {
            if next.at_us > end_us {
                break;
            }
            self.now_us = self.now_us.max(next.at_us);
            self.handle(next.event);
        }
        self.finish()
    }

    fn draw_load(&mut self) {
        let load = self.load.clone();
        for (kind, of) in load.kinds.iter().enumerate() {
            let mut at_ms = 0.0;
            loop {
                let rate = of.rate(at_ms as u64).max(0.001);
                at_ms += -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
                if at_ms >= self.load_ms as f64 {
                    break;
                }
                let sent_us = LEAD_MS * 1_000 + (at_ms * 1_000.0) as u64;
                let number = self.jobs.len() as u64;
                let job = draw_job(&mut self.rng, &load, kind, number, sent_us);
                self.job_of.insert(job.id, self.jobs.len());
                self.jobs.push(job);
                let job = self.jobs.len() - 1;
                self.schedule_at(sent_us, Event::Send { job });
                self.report.kinds[kind].asked += 1;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(until_us) = self.frozen_until(&event) {
            // What arrives at a process that stands still waits in its buffers.
            self.schedule_at(until_us, event);
            return;
        }
        match event {
            Event::Send { job } => self.send_copy(job),
            Event::GiveUp { job, copy } => self.give_up(job, copy),
            Event::Fault(fault) => self.begin_fault(&fault),
            Event::Heal(fault) => self.end_fault(&fault),
            Event::EntryTick { .. }
            | Event::Connect { .. }
            | Event::CallTimeout { .. }
            | Event::HostUpdate { .. } => self.entry_event(event),
            _ => self.agent_event(event),
        }
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let until_us = match event {
            Event::EntryTick { entry, .. }
            | Event::Connect { entry, .. }
            | Event::CallTimeout { entry, .. }
            | Event::HostUpdate { entry, .. } => self.entries[*entry].frozen_until_us,
            Event::Orders { host, .. }
            | Event::Question { host, .. }
            | Event::QuestionDue { host, .. }
            | Event::LinkClosed { host, .. }
            | Event::AgentTick { host, .. }
            | Event::StartResult { host, .. }
            | Event::StopResult { host, .. }
            | Event::TargetPoll { host, .. }
            | Event::TargetPollResult { host, .. }
            | Event::Report { host } => self.agents[*host].frozen_until_us,
            _ => 0,
        };
        (until_us > self.now_us).then_some(until_us)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(crate) fn schedule(&mut self, in_us: u64, event: Event) {
        self.schedule_at(self.now_us + in_us, event);
    }

    pub(crate) fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.next_order += 1;
        self.queue.push(Scheduled {
            at_us,
            order: self.next_order,
            event,
        });
    }

    /// Returns when a message between an entry and a host arrives.
    pub(crate) fn arrival_us(&mut self, entry: usize, host: usize) -> u64 {
        let (least, most) = self.deployment.delay_us;
        let delay_us = self.rng.random_range(least..=most);
        let cut_until_us = self.entries[entry]
            .cut_until_us
            .max(self.agents[host].cut_until_us);
        cut_until_us.max(self.now_us) + delay_us
    }

    pub(crate) fn is_cut(&self, entry: usize, host: usize) -> bool {
        let cut_until_us = self.entries[entry]
            .cut_until_us
            .max(self.agents[host].cut_until_us);
        cut_until_us > self.now_us
    }

    pub(crate) fn new_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    pub(crate) fn violated(&mut self, text: String) {
        let at_ms = self.now_ms();
        self.report.violations.push(Violation { at_ms, text });
    }

    fn finish(mut self) -> Report {
        let (mut owed, mut earned) = (0.0, 0.0);
        for (kind, report) in self.load.kinds.iter().zip(&mut self.report.kinds) {
            let answered = report.in_time + report.late + report.refused + report.failed;
            report.failed += report.asked - report.left - answered.min(report.asked - report.left);
            owed += kind.worth * (report.asked - report.left) as f64;
            earned += kind.worth * (report.in_time as f64 + 0.2 * report.late as f64);
        }
        self.report.worth_share = earned / f64::max(owed, f64::MIN_POSITIVE);
        self.report
    }
}
