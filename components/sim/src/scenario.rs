//! Scenarios: patterns of load and faults, each with a deployment.

use model::Resources;
use scheduling::PlacementRule;

use crate::client::{Burst, JobKind, Load};
use crate::fault::{Fault, FaultKind};
use crate::interference::Interference;
use crate::report::Report;
use crate::target::TargetSpec;
use crate::world::{Deployment, World};

/// A pattern of load and faults on a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// The simulated processes.
    pub deployment: Deployment,
    /// Jobs that clients submit.
    pub load: Load,
    /// Time over which clients submit jobs, in milliseconds.
    pub load_ms: u64,
    /// Faults injected during the run.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Runs the scenario with a seed.
    #[must_use]
    pub fn run(&self, seed: u64) -> Report {
        let world = World::new(
            self.deployment.clone(),
            self.load.clone(),
            self.load_ms,
            seed,
        );
        world.run(&self.faults)
    }
}

/// Returns a deployment of `entries` entries and `hosts` hosts of mixed speed and size.
#[must_use]
pub fn deployment(entries: usize, hosts: usize) -> Deployment {
    let speeds = [0.55, 1.2, 1.2, 1.2];
    let sizes = [1.0, 1.0, 1.5];
    let targets = (0..hosts).map(|host| TargetSpec {
        capacity: Resources {
            cpu_millis: (32_000.0 * sizes[host % sizes.len()]) as u32,
            memory_mib: 65_536,
            gpus: 0,
        },
        speed: speeds[host % speeds.len()],
        clock_rate: if host % 5 == 0 { 0.98 } else { 1.0 },
        interference: Interference::None,
    });
    Deployment {
        entries,
        targets: targets.collect(),
        failure_domains: 1,
        rule: PlacementRule::default(),
        separates_interfering: false,
        delay_us: (300, 1_600),
    }
}

/// Returns the usual load for `hosts` hosts, times a factor.
///
/// It mixes quick jobs of many tasks, long jobs and small jobs. With a factor of one they use about
/// 70% of the capacity.
#[must_use]
pub fn usual_load(hosts: usize, factor: f64) -> Load {
    let scale = hosts as f64 / 11.0 * factor;
    let kind = |name, per_s: f64, width, task_ms, priority, worth| JobKind {
        name,
        per_s: per_s * scale,
        width,
        task_ms,
        cpu_millis: 3_100,
        priority,
        worth,
        burst: None,
        crashing_share: 0.0,
    };
    Load {
        kinds: vec![
            kind("quick", 34.4, 8, 60.0, 0, 0.0291),
            kind("long", 6.25, 4, 900.0, 2, 0.16),
            kind("small", 100.0, 2, 200.0, 1, 0.01),
        ],
        spread: 0.4,
        declared_deviation: 0.4,
        task_deviation: 0.15,
        early_leave_share: 0.0,
        retry_delay_ms: model::CALLER_RETRY_MS,
    }
}

fn scenario(name: &'static str, load: Load, faults: Vec<Fault>) -> Scenario {
    Scenario {
        name,
        deployment: deployment(4, 11),
        load,
        load_ms: 12_000,
        faults,
    }
}

fn fault(kind: FaultKind, place: usize, at_ms: u64, for_ms: u64, strength: f64) -> Fault {
    Fault {
        kind,
        place,
        at_ms,
        for_ms,
        strength,
    }
}

/// Returns the patterns of load that the placement and admission decisions are designed for.
#[must_use]
pub fn patterns() -> Vec<Scenario> {
    let mut burst_of_small = usual_load(11, 1.0);
    burst_of_small.kinds[2].burst = Some(Burst {
        from_ms: 3_000,
        to_ms: 7_000,
        factor: 2.5,
    });
    let mut burst_of_all = usual_load(11, 1.0);
    for kind in &mut burst_of_all.kinds {
        kind.burst = Some(Burst {
            from_ms: 3_000,
            to_ms: 7_000,
            factor: 1.6,
        });
    }
    let mut wide = usual_load(11, 0.9);
    wide.kinds[0].width = 24;
    wide.kinds[0].per_s /= 3.0;
    let mut leaving = usual_load(11, 1.2);
    leaving.early_leave_share = 0.35;
    let third = |kind, strength| -> Vec<Fault> {
        [1, 4, 7]
            .into_iter()
            .map(|host| fault(kind, host, 3_000, 5_000, strength))
            .collect()
    };
    vec![
        scenario("usual", usual_load(11, 1.0), Vec::new()),
        scenario("burst_of_small", burst_of_small, Vec::new()),
        scenario("burst_of_all", burst_of_all, Vec::new()),
        scenario("steady_overload", usual_load(11, 1.5), Vec::new()),
        scenario("wide_jobs", wide, Vec::new()),
        scenario("leaving_clients", leaving, Vec::new()),
        scenario(
            "third_slow",
            usual_load(11, 1.0),
            third(FaultKind::SlowTarget, 6.0),
        ),
        scenario(
            "third_hanging",
            usual_load(11, 1.0),
            third(FaultKind::HangTarget, 1.0),
        ),
        scenario(
            "third_failing",
            usual_load(11, 1.0),
            third(FaultKind::FailTarget, 1.0),
        ),
        scenario(
            "room_lost",
            usual_load(11, 1.1),
            third(FaultKind::CrashTarget, 1.0),
        ),
    ]
}

/// Returns a pattern in which a tenth of the quick jobs have a task that crashes targets.
#[must_use]
pub fn crashing_tasks() -> Scenario {
    let mut load = usual_load(11, 1.0);
    load.kinds[0].crashing_share = 0.1;
    scenario("crashing_tasks", load, Vec::new())
}

/// Returns a pattern in which a quarter of the hosts is evacuated in a burst of 2.3 times the load.
#[must_use]
pub fn quarter_evacuated() -> Scenario {
    let mut load = usual_load(12, 1.0);
    for kind in &mut load.kinds {
        kind.burst = Some(Burst {
            from_ms: 3_000,
            to_ms: 7_000,
            factor: 2.3,
        });
    }
    let deployment = Deployment {
        failure_domains: 4,
        ..deployment(4, 12)
    };
    Scenario {
        name: "quarter_evacuated",
        deployment,
        load,
        load_ms: 12_000,
        faults: vec![fault(FaultKind::Evacuate, 1, 4_000, 6_000, 0.0)],
    }
}
