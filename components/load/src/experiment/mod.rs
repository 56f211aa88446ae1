//! One run: clients, entries and hosts around an event queue.

mod entries;
mod hosts;
mod jobs;
mod outcome;

use dispatch::{Dispatcher, Policy, SwapOutcome};
use execution::{CallKey, CallOutcome};
use model::{AgentEnvelope, Answer, FirmKey, GroupKey, OwnerEnvelope, ShardKey, ShardRecord};
use proof::simnet::{Endpoint, Faults, Net};
use rustc_hash::FxHashMap;

use crate::deployment::{CLIENT_US, LOCAL_US};
use crate::fake_host::FakeHost;
use crate::fake_platform::FakePlatform;
use crate::scenario::{Fault, Scenario};
use crate::tally::Tally;
use crate::workload;

pub use outcome::{RunResult, Waste};

use entries::FakeEntry;
use jobs::JobRun;

/// Time before the first arrival, in which entries claim their shards.
const SETUP_US: u64 = 1_000_000;

/// Time after the last arrival at which a run ends in any case, beyond the last deadline.
const TAIL_US: u64 = 15_000_000;

/// Interval at which agents announce themselves and entries hear of each other.
const ANNOUNCE_US: u64 = 1_000_000;

/// Interval at which entries hear of each other.
const PEER_US: u64 = 250_000;

/// Unix time at the start of a run, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// Part of a link's delay by which it varies, as a divisor.
const JITTER_DIVISOR: u64 = 10;

/// What happens at a point in time.
#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    Submit {
        entry: usize,
        job: usize,
    },
    Answer {
        job: usize,
        answer: Answer,
    },
    ToAgent {
        host: usize,
        envelope: OwnerEnvelope,
    },
    ToEntry {
        entry: usize,
        envelope: AgentEnvelope,
    },
    CallDone(FinishedCall),
    AgentTimer {
        host: usize,
    },
    EntryTimer {
        entry: usize,
    },
    SwapDone(WrittenRecord),
    Announce {
        host: usize,
        periodic: bool,
    },
    Peers,
    Fault(Fault),
    DrainCheck {
        host: usize,
    },
}

/// A call of a target that ends.
#[derive(Debug, Clone)]
struct FinishedCall {
    host: usize,
    incarnation: u64,
    call: CallKey,
    outcome: CallOutcome,
}

/// The platform's answer to a compare-and-swap.
#[derive(Debug, Clone)]
struct WrittenRecord {
    entry: usize,
    shard: ShardKey,
    outcome: SwapOutcome,
    record: ShardRecord,
}

/// Runs a scenario and returns what was measured.
#[must_use]
pub fn run(scenario: &Scenario, contender: &str, policy: &Policy, seed: u64) -> RunResult {
    let mut experiment = Experiment::new(scenario.clone(), policy, seed);
    experiment.turn();
    experiment.result(contender, seed)
}

struct Experiment {
    scenario: Scenario,
    seed: u64,
    net: Net<Event>,
    now_us: u64,
    entries: Vec<FakeEntry>,
    hosts: Vec<FakeHost>,
    host_by_address: FxHashMap<String, usize>,
    platform: FakePlatform,
    firms: Vec<FirmKey>,
    group: GroupKey,
    jobs: Vec<JobRun>,
    job_by_key: FxHashMap<model::JobKey, usize>,
    unanswered: usize,
    tally: Tally,
    failing_since_us: Option<u64>,
    ejected_after_us: Option<u64>,
}

impl Experiment {
    fn new(scenario: Scenario, policy: &Policy, seed: u64) -> Self {
        let firms: Vec<FirmKey> = scenario
            .firms
            .iter()
            .map(|firm| FirmKey::from_name(firm.name))
            .collect();
        let group = GroupKey::from_name("planners");
        let planned = workload::plan(&scenario, seed);
        let jobs: Vec<JobRun> = planned
            .into_iter()
            .enumerate()
            .map(|(number, plan)| JobRun::new(number, firms[plan.firm], group, plan))
            .collect();
        let hosts: Vec<FakeHost> = scenario
            .slowness
            .iter()
            .enumerate()
            .map(|(position, &slowness)| FakeHost::new(position, slowness))
            .collect();
        let entries = (0..scenario.entries)
            .map(|position| FakeEntry::new(position, policy, seed, &scenario, &firms, group))
            .collect();
        let mut experiment = Self {
            host_by_address: (hosts.iter().enumerate())
                .map(|(position, host)| (host.address.clone(), position))
                .collect(),
            job_by_key: (jobs.iter().enumerate())
                .map(|(number, job)| (job.spec.meta.key, number))
                .collect(),
            unanswered: jobs.len(),
            net: Net::new(seed),
            now_us: 0,
            entries,
            hosts,
            platform: FakePlatform::default(),
            firms,
            group,
            jobs,
            tally: Tally::default(),
            failing_since_us: None,
            ejected_after_us: None,
            scenario,
            seed,
        };
        experiment.set_delays();
        experiment.schedule_inputs();
        experiment
    }

    fn set_delays(&mut self) {
        let deployment = self.scenario.deployment;
        for entry in 0..self.entries.len() {
            for host in 0..self.hosts.len() {
                let same = entry % deployment.domain_count() == deployment.domain_of(host);
                let delay_us = if same {
                    LOCAL_US
                } else {
                    deployment.one_way_us()
                };
                let range = delay_us..=delay_us + delay_us / JITTER_DIVISOR;
                let faults = Faults::default().delay_us(range).ordered();
                let (one, other) = (entry_endpoint(entry), host_endpoint(host));
                self.net.set_faults(one, other, faults.clone());
                self.net.set_faults(other, one, faults);
            }
        }
    }

    fn schedule_inputs(&mut self) {
        self.net.schedule(0, Event::Peers);
        for host in 0..self.hosts.len() {
            self.net.schedule(
                0,
                Event::Announce {
                    host,
                    periodic: true,
                },
            );
        }
        for entry in 0..self.entries.len() {
            self.net.schedule(1, Event::EntryTimer { entry });
        }
        for (number, job) in self.jobs.iter().enumerate() {
            let at_us = SETUP_US + job.plan.at_us;
            self.net.schedule(at_us, Event::Arrive(number));
        }
        for &(at_us, fault) in &self.scenario.faults {
            self.net.schedule(SETUP_US + at_us, Event::Fault(fault));
        }
    }

    /// Handles events until every job is answered or should have been.
    fn turn(&mut self) {
        let last_deadline_us = self.jobs.iter().map(|job| job.plan.deadline_us).max();
        let end_us = SETUP_US + last_deadline_us.unwrap_or(0) + TAIL_US;
        let arrivals_end_us = SETUP_US + self.scenario.duration_us;
        while let Some((now_us, event)) = self.net.pop() {
            self.now_us = now_us;
            let done = self.unanswered == 0 && now_us > arrivals_end_us;
            if done || now_us > end_us {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Submit { entry, job } => self.submit(entry, job),
            Event::Answer { job, answer } => self.answer(job, &answer),
            Event::ToAgent { host, envelope } => self.receive_owner_envelope(host, envelope),
            Event::ToEntry { entry, envelope } => self.receive_agent_envelope(entry, envelope),
            Event::CallDone(call) => self.call_done(call),
            Event::AgentTimer { host } => self.agent_timer(host),
            Event::EntryTimer { entry } => self.entry_timer(entry),
            Event::SwapDone(written) => self.compare_and_swap_done(written),
            Event::Announce { host, periodic } => self.announce(host, periodic),
            Event::Peers => self.peers(),
            Event::Fault(fault) => self.inject(fault),
            Event::DrainCheck { host } => self.drain_check(host),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::FailAll { host } => {
                self.hosts[host].failing = true;
                self.failing_since_us = Some(self.now_us);
            }
            Fault::Recover { host } => self.hosts[host].failing = false,
            Fault::Kill { host } => self.hosts[host].alive = false,
            Fault::Replace { host } => self.replace(host),
            Fault::CancelWave { percent } => self.cancel_wave(percent),
            Fault::PlatformDown => self.platform.down = true,
            Fault::PlatformUp => self.platform.down = false,
        }
    }

    fn unix_ms(&self) -> u64 {
        unix_ms(self.now_us)
    }

    fn client_delay_us(&self, hop: bool) -> u64 {
        let hop_us = if hop {
            self.scenario.deployment.one_way_us()
        } else {
            0
        };
        CLIENT_US + hop_us
    }
}

fn unix_ms(at_us: u64) -> u64 {
    EPOCH_UNIX_MS + at_us / 1_000
}

fn entry_endpoint(entry: usize) -> Endpoint {
    Endpoint(entry as u32)
}

fn host_endpoint(host: usize) -> Endpoint {
    Endpoint(1_000 + host as u32)
}

/// Returns the counts of an entry's decisions.
fn counters(entry: &FakeEntry) -> &dispatch::Counters {
    Dispatcher::counters(&entry.dispatcher)
}
