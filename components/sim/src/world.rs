//! State of a simulation: clock, event queue, nodes and the links between them.

use std::collections::BinaryHeap;

use model::TaskRef;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use scheduling::PlacementRule;

use crate::agent::AgentNode;
use crate::client::{ClientJob, Load, sample_job};
use crate::entry::EntryNode;
use crate::evacuation::EvacuationStore;
use crate::event::{Event, Scheduled};
use crate::fault::Fault;
use crate::report::{KindReport, Report, Violation};
use crate::target::TargetSpec;

/// Time after the last submission during which jobs may still complete, in milliseconds.
const COMPLETION_MS: u64 = 8_000;

/// Time before the first submission in which entries connect to hosts, in milliseconds.
pub(crate) const WARMUP_MS: u64 = 1_000;

/// The simulated processes and the network between them.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Number of entries.
    pub entries: usize,
    /// The targets; each has an agent.
    pub targets: Vec<TargetSpec>,
    /// Minimum and maximum one-way delay between entries and agents, in microseconds.
    pub delay_us: (u64, u64),
    /// Number of failure domains, each with the same number of consecutive hosts.
    pub failure_domains: usize,
    /// Placement rule of the entries.
    pub rule: PlacementRule,
    /// Whether kinds of task that slow each other down are kept apart.
    pub separates_interfering: bool,
}

/// A connection from an entry to a host.
///
/// `epoch` changes with every connect and disconnect, so messages of an earlier connection are
/// ignored. The calls are the identifiers of the requests in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    pub(crate) epoch: u64,
    pub(crate) is_connected: bool,
    pub(crate) orders_call: Option<u64>,
    pub(crate) update_call: Option<u64>,
}

/// A simulation with its event queue.
pub struct World {
    pub(crate) now_us: u64,
    pub(crate) rng: SmallRng,
    pub(crate) deployment: Deployment,
    pub(crate) load: Load,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) links: Vec<Vec<Link>>,
    pub(crate) jobs: Vec<ClientJob>,
    pub(crate) job_by_id: FxHashMap<model::JobId, usize>,
    pub(crate) running: FxHashMap<TaskRef, Vec<(usize, u64)>>,
    pub(crate) report: Report,
    pub(crate) last_call_id: u64,
    pub(crate) store: EvacuationStore,
    queue: BinaryHeap<Scheduled>,
    last_sequence: u64,
    load_ms: u64,
}

impl World {
    /// Creates a simulation in which all processes are up at time zero.
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
            job_by_id: FxHashMap::default(),
            running: FxHashMap::default(),
            report,
            last_call_id: 0,
            store: EvacuationStore::default(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
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

    /// Runs the load with the given faults and returns the report.
    #[must_use]
    pub fn run(mut self, faults: &[Fault]) -> Report {
        for fault in faults {
            let at_us = (WARMUP_MS + fault.at_ms) * 1_000;
            self.schedule_at(at_us, Event::FaultStart(fault.clone()));
            let until_us = at_us + fault.for_ms * 1_000;
            self.schedule_at(until_us, Event::FaultEnd(fault.clone()));
        }
        self.schedule_load();
        let end_us = (WARMUP_MS + self.load_ms + COMPLETION_MS) * 1_000;
        while let Some(next) = self.queue.pop() {
            if next.at_us > end_us {
                break;
            }
            self.now_us = self.now_us.max(next.at_us);
            self.handle(next.event);
        }
        self.finish()
    }

    fn schedule_load(&mut self) {
        let load = self.load.clone();
        for (kind, job_kind) in load.kinds.iter().enumerate() {
            let mut at_ms = 0.0;
            loop {
                let rate = job_kind.rate(at_ms as u64).max(0.001);
                at_ms += -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / rate;
                if at_ms >= self.load_ms as f64 {
                    break;
                }
                let sent_us = WARMUP_MS * 1_000 + (at_ms * 1_000.0) as u64;
                let number = self.jobs.len() as u64;
                let job = sample_job(&mut self.rng, &load, kind, number, sent_us);
                self.job_by_id.insert(job.id, self.jobs.len());
                self.jobs.push(job);
                let job = self.jobs.len() - 1;
                self.schedule_at(sent_us, Event::Send { job });
                self.report.kinds[kind].submitted += 1;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(until_us) = self.frozen_until(&event) {
            // A frozen process reads its messages only when it resumes.
            self.schedule_at(until_us, event);
            return;
        }
        match event {
            Event::Send { job } => self.send_attempt(job),
            Event::ClientTimeout { job, attempt } => self.handle_client_timeout(job, attempt),
            Event::FaultStart(fault) => self.begin_fault(&fault),
            Event::FaultEnd(fault) => self.end_fault(&fault),
            Event::EntryTick { .. }
            | Event::Connect { .. }
            | Event::CallTimeout { .. }
            | Event::EntryEvacuations { .. }
            | Event::HostUpdate { .. } => self.handle_entry_event(event),
            _ => self.handle_agent_event(event),
        }
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let until_us = match event {
            Event::EntryTick { entry, .. }
            | Event::Connect { entry, .. }
            | Event::CallTimeout { entry, .. }
            | Event::EntryEvacuations { entry, .. }
            | Event::HostUpdate { entry, .. } => self.entries[*entry].frozen_until_us,
            Event::Orders { host, .. }
            | Event::UpdateRequest { host, .. }
            | Event::UpdateWaitExpired { host, .. }
            | Event::LinkClosed { host, .. }
            | Event::AgentEvacuations { host, .. }
            | Event::AgentTick { host, .. }
            | Event::StartResult { host, .. }
            | Event::StopResult { host, .. }
            | Event::TargetPoll { host, .. }
            | Event::TargetPollResult { host, .. }
            | Event::TargetCheckResult { host, .. }
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
        self.last_sequence += 1;
        self.queue.push(Scheduled {
            at_us,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Returns when a message between an entry and a host arrives; a partition delays it until
    /// the partition heals.
    pub(crate) fn arrival_us(&mut self, entry: usize, host: usize) -> u64 {
        let (least, most) = self.deployment.delay_us;
        let delay_us = self.rng.random_range(least..=most);
        let partitioned_until_us = self.entries[entry]
            .partitioned_until_us
            .max(self.agents[host].partitioned_until_us);
        partitioned_until_us.max(self.now_us) + delay_us
    }

    pub(crate) fn is_partitioned(&self, entry: usize, host: usize) -> bool {
        let partitioned_until_us = self.entries[entry]
            .partitioned_until_us
            .max(self.agents[host].partitioned_until_us);
        partitioned_until_us > self.now_us
    }

    pub(crate) fn new_call_id(&mut self) -> u64 {
        self.last_call_id += 1;
        self.last_call_id
    }

    pub(crate) fn record_violation(&mut self, text: String) {
        let at_ms = self.now_ms();
        self.report.violations.push(Violation { at_ms, text });
    }

    fn finish(mut self) -> Report {
        let (mut total_worth, mut served_worth) = (0.0, 0.0);
        for (kind, report) in self.load.kinds.iter().zip(&mut self.report.kinds) {
            let answered = report.in_time + report.late + report.refused + report.failed;
            report.failed += report.submitted
                - report.abandoned
                - answered.min(report.submitted - report.abandoned);
            total_worth += kind.worth * (report.submitted - report.abandoned) as f64;
            served_worth += kind.worth * (report.in_time as f64 + 0.2 * report.late as f64);
        }
        self.report.worth_share = served_worth / f64::max(total_worth, f64::MIN_POSITIVE);
        self.report
    }
}
