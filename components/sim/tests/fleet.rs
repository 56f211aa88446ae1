//! Message cost and served share of a large deployment.

use sim::{Report, Scenario, deployment, usual_load};

const SEEDS: [u64; 2] = [1, 2];

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
