//! Runs each pattern of load with the default placement rule and with a simple one.

use scheduling::PlacementRule;
use sim::{Report, patterns};

/// Share of the worth that users require under overload and faults.
const TARGET: f64 = 0.87;

/// Share of the capacity that the usual load uses.
const USUAL_SHARE: f64 = 0.7;

const SEED: u64 = 1;

fn run_with_rule(name: &str, rule: PlacementRule) -> Report {
    let mut patterns = patterns().into_iter();
    let mut pattern = patterns
        .find(|pattern| pattern.name == name)
        .expect("a pattern of this name");
    pattern.deployment.rule = rule;
    pattern.run(SEED)
}

/// Checks a pattern whose load is `factor` times the usual one. If the load exceeds the capacity,
/// the required share shrinks to what the capacity can serve.
fn check_load(name: &str, factor: f64) {
    let target = TARGET * (1.0 / (USUAL_SHARE * factor)).min(1.0);
    let chosen = run_with_rule(name, PlacementRule::default());
    assert_eq!(chosen.violations, []);
    assert!(chosen.worth_share >= target, "{chosen}");
    let simple = run_with_rule(name, PlacementRule::TwoChoices);
    assert!(
        chosen.worth_share > simple.worth_share,
        "{chosen}\n{simple}"
    );
    // No starvation: the served share of each kind is at least half of the overall share.
    for kind in &chosen.kinds {
        assert!(kind.served_share() >= chosen.worth_share / 2.0, "{chosen}");
    }
}

fn check(name: &str) {
    check_load(name, 1.0);
}

#[test]
fn usual_load_reaches_the_required_share() {
    check("usual");
}

#[test]
fn burst_of_one_kind_reaches_the_required_share() {
    check("burst_of_small");
}

#[test]
fn burst_of_all_kinds_reaches_the_required_share() {
    check("burst_of_all");
}

#[test]
fn steady_overload_reaches_the_required_share() {
    check_load("steady_overload", 1.5);
}

#[test]
fn wide_jobs_reach_the_required_share() {
    check("wide_jobs");
}

#[test]
fn clients_that_disconnect_early_reach_the_required_share() {
    check("leaving_clients");
}

#[test]
fn a_third_of_the_targets_slow_reaches_the_required_share() {
    check("third_slow");
}

#[test]
fn a_third_of_the_targets_hanging_reaches_the_required_share() {
    check("third_hanging");
}

#[test]
fn a_third_of_the_targets_failing_reaches_the_required_share() {
    check("third_failing");
}

#[test]
fn a_third_of_the_targets_crashing_reaches_the_required_share() {
    check("room_lost");
}
