//! What a large fleet costs.

use sim::{Report, Scenario, deployment, usual_load};

const SEEDS: [u64; 2] = [1, 2];

fn play(entries: usize, hosts: usize) -> Vec<Report> {
    let scenario = Scenario {
        name: "fleet",
        deployment: deployment(entries, hosts),
        load: usual_load(hosts, 1.0),
        load_ms: 3_000,
        faults: Vec::new(),
    };
    SEEDS.iter().map(|seed| scenario.play(*seed)).collect()
}

fn mean(reports: &[Report], figure: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len() as f64
}

// Without a bound on the hosts that an entry follows, messages grow with entries times hosts.
#[test]
fn messages_for_a_task_hardly_grow_with_the_fleet() {
    let per_task = |report: &Report| report.messages as f64 / report.starts as f64;
    let (small, large) = (play(4, 24), play(20, 120));
    let (few, many) = (mean(&small, per_task), mean(&large, per_task));
    assert!(many < 1.5 * few, "{few} and {many} messages a task");
    let served = |report: &Report| report.worth_share;
    let (near, far) = (mean(&small, served), mean(&large, served));
    assert!(far > near - 0.03, "{near} and {far} of the worth served");
    for report in small.iter().chain(&large) {
        assert_eq!(report.violations, []);
    }
}
