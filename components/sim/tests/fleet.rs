//! Message cost and served share of a large deployment.

use sim::{Burst, Fault, FaultKind, Report, Scenario, deployment, usual_load};

const SEEDS: [u64; 2] = [1, 2];

/// Share that users require under faults.
const USERS_SHARE: f64 = 0.87;

/// Aim for the urgent jobs in time, as a share of what the best order reaches; that is all of them,
/// since alone they never exceed the capacity.
const REQUIRED_SHARE: f64 = 0.95;

fn run_fleet(entries: usize, hosts: usize) -> Vec<Report> {
    let scenario = Scenario {
        name: "fleet",
        deployment: deployment(entries, hosts),
        load: usual_load(hosts, 1.0),
        load_ms: 3_000,
        faults: Vec::new(),
    };
    SEEDS.iter().map(|seed| scenario.run(*seed)).collect()
}

fn mean(reports: &[Report], figure: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len() as f64
}

// Guards against unbounded connections: if each entry connected to all hosts, the messages would
// grow with entries times hosts.
#[test]
fn messages_per_task_stay_bounded_as_the_deployment_grows() {
    let per_task = |report: &Report| report.messages as f64 / report.starts as f64;
    let (small, large) = (run_fleet(4, 24), run_fleet(20, 120));
    let (few, many) = (mean(&small, per_task), mean(&large, per_task));
    assert!(many < 1.5 * few, "{few} and {many} messages per task");
    let served = |report: &Report| report.worth_share;
    let (near, far) = (mean(&small, served), mean(&large, served));
    assert!(far > near - 0.03, "{near} and {far} of the worth served");
    for report in small.iter().chain(&large) {
        assert_eq!(report.violations, []);
    }
}

/// Entries and hosts of a loaded fleet, in the proportions of the largest deployment.
const LOADED_FLEET: (usize, usize) = (12, 54);

/// Time over which clients submit jobs to the loaded fleet, in milliseconds.
const LOADED_MS: u64 = 2_500;

/// Runs a fleet with tasks as large as those of the largest deployment, six to a host, in a
/// burst of `factor` times the usual load.
fn run_loaded_fleet(seed: u64, factor: f64, faults: Vec<Fault>) -> Report {
    let (entries, hosts) = LOADED_FLEET;
    let mut load = usual_load(hosts, 1.0);
    for kind in &mut load.kinds {
        kind.per_s *= f64::from(kind.cpu_millis) / 5_000.0;
        kind.cpu_millis = 5_000;
        kind.burst = Some(Burst {
            from_ms: 500,
            to_ms: LOADED_MS,
            factor,
        });
    }
    let scenario = Scenario {
        name: "loaded_fleet",
        deployment: deployment(entries, hosts),
        load,
        load_ms: LOADED_MS,
        faults,
    };
    scenario.run(seed)
}

// Guards against tasks that wait at full hosts in vain, and against tasks that go round between
// hosts which all expect them to wait longer than they may.
#[test]
fn urgent_jobs_are_in_time_while_a_fleet_is_overloaded() {
    for seed in SEEDS {
        let report = run_loaded_fleet(seed, 1.8, Vec::new());
        assert_eq!(report.violations, []);
        let urgent = &report.kinds[0];
        assert!(urgent.in_time_share() >= REQUIRED_SHARE, "{report}");
        assert!(report.turned_back < report.starts, "{report}");
    }
}

// Guards against ends of runs that an agent learns late because its polls are lost too: a job of
// eight tasks is late if one of eight agents is.
#[test]
fn urgent_jobs_are_in_time_while_targets_leave_one_call_in_twenty_unanswered() {
    let late_orders = |place| Fault {
        kind: FaultKind::LateOrders,
        place,
        at_ms: 0,
        for_ms: LOADED_MS,
        strength: 0.05,
    };
    for seed in SEEDS {
        let faults = (0..LOADED_FLEET.1).map(late_orders).collect();
        let report = run_loaded_fleet(seed, 1.2, faults);
        assert_eq!(report.violations, []);
        let urgent = &report.kinds[0];
        assert!(urgent.in_time_share() >= USERS_SHARE, "{report}");
    }
}
