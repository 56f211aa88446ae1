//! Input of a run: load, targets and timed faults.

use crate::deployment::{Deployment, HOSTS, SLOTS};
use crate::ideal::Capacity;

/// Load of one firm.
#[derive(Debug, Clone)]
pub struct FirmLoad {
    /// Name of the firm.
    pub name: &'static str,
    /// Work offered relative to the capacity of all targets.
    pub offered: f64,
    /// Fair-share weight of the firm at shared targets.
    pub weight: u32,
    /// Period with another load: start and end in microseconds, and the offered work in it.
    pub burst: Option<(u64, u64, f64)>,
}

/// A fault or an operation at a given time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The target fails every task immediately.
    FailAll {
        /// The host.
        host: usize,
    },
    /// The target recovers.
    Recover {
        /// The host.
        host: usize,
    },
    /// The host is lost with its agent and target.
    Kill {
        /// The host.
        host: usize,
    },
    /// The agent drains and is replaced by a new incarnation.
    Replace {
        /// The host.
        host: usize,
    },
    /// Clients cancel a part of the jobs in progress.
    CancelWave {
        /// Part of the jobs, in percent.
        percent: u64,
    },
    /// The platform is unavailable until [`Fault::PlatformUp`].
    PlatformDown,
    /// The platform is available again.
    PlatformUp,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Hosts and delays.
    pub deployment: Deployment,
    /// Number of entries that own shards.
    pub entries: usize,
    /// The firms.
    pub firms: Vec<FirmLoad>,
    /// Run time factor of each target.
    pub slowness: Vec<f64>,
    /// Factor between declared and real run times, drawn from `1/x..=x`.
    pub declared_error: f64,
    /// Probability that a task takes ten times as long where it runs.
    pub straggler_probability: f64,
    /// Probability that every task of a job fails wherever it runs.
    pub broken_jobs: f64,
    /// Time over which jobs arrive, in microseconds.
    pub duration_us: u64,
    /// Warmup in microseconds; the response times of jobs that arrive earlier are not measured.
    pub warmup_us: u64,
    /// Faults with their times, in microseconds after the load begins.
    pub faults: Vec<(u64, Fault)>,
}

impl Scenario {
    /// Returns the capacity of each target.
    #[must_use]
    pub fn capacities(&self) -> Vec<Capacity> {
        self.slowness
            .iter()
            .map(|&slowness| Capacity {
                slots: SLOTS,
                slowness,
            })
            .collect()
    }

    /// Returns the work that all targets complete per microsecond, in microseconds.
    #[must_use]
    pub fn work_rate(&self) -> f64 {
        self.capacities()
            .iter()
            .map(|target| f64::from(target.slots) / target.slowness)
            .sum()
    }
}

/// Builds a [`Scenario`].
#[derive(Debug, Clone)]
pub struct ScenarioBuilder {
    scenario: Scenario,
}

impl ScenarioBuilder {
    /// Creates a builder with one firm, targets of slightly different speeds and no faults.
    #[must_use]
    pub fn new(name: &str, deployment: Deployment) -> Self {
        let step = 0.5 / (HOSTS - 1) as f64;
        Self {
            scenario: Scenario {
                name: name.to_owned(),
                deployment,
                entries: 1,
                firms: vec![FirmLoad {
                    name: "steady",
                    offered: 0.5,
                    weight: 1,
                    burst: None,
                }],
                slowness: (0..HOSTS).map(|host| 0.8 + step * host as f64).collect(),
                declared_error: 1.0,
                straggler_probability: 0.0,
                broken_jobs: 0.0,
                duration_us: 90_000_000,
                warmup_us: 5_000_000,
                faults: Vec::new(),
            },
        }
    }

    /// Sets the load of the first firm.
    #[must_use]
    pub fn offered(mut self, offered: f64) -> Self {
        self.scenario.firms[0].offered = offered;
        self
    }

    /// Sets another load of the first firm within a period.
    #[must_use]
    pub fn burst(mut self, from_us: u64, until_us: u64, offered: f64) -> Self {
        self.scenario.firms[0].burst = Some((from_us, until_us, offered));
        self
    }

    /// Adds a firm that shares the targets.
    #[must_use]
    pub fn firm(mut self, firm: FirmLoad) -> Self {
        self.scenario.firms.push(firm);
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: usize) -> Self {
        self.scenario.entries = entries;
        self
    }

    /// Sets the slowness of each target.
    #[must_use]
    pub fn slowness(mut self, slowness: &[f64]) -> Self {
        self.scenario.slowness = slowness.to_vec();
        self
    }

    /// Sets the factor by which declared run times may differ from the real ones.
    #[must_use]
    pub fn declared_error(mut self, factor: f64) -> Self {
        self.scenario.declared_error = factor;
        self
    }

    /// Sets the probability that a task takes ten times as long.
    #[must_use]
    pub fn straggler_probability(mut self, probability: f64) -> Self {
        self.scenario.straggler_probability = probability;
        self
    }

    /// Sets the probability that every task of a job fails.
    #[must_use]
    pub fn broken_jobs(mut self, probability: f64) -> Self {
        self.scenario.broken_jobs = probability;
        self
    }

    /// Sets the time over which jobs arrive and the part that is not measured.
    #[must_use]
    pub fn duration_us(mut self, duration_us: u64, warmup_us: u64) -> Self {
        self.scenario.duration_us = duration_us;
        self.scenario.warmup_us = warmup_us;
        self
    }

    /// Adds a fault.
    #[must_use]
    pub fn fault(mut self, at_us: u64, fault: Fault) -> Self {
        self.scenario.faults.push((at_us, fault));
        self
    }

    /// Returns the scenario.
    #[must_use]
    pub fn build(self) -> Scenario {
        self.scenario
    }
}
