//! Each pattern of load that the decisions answer, replayed against a simple rule.

use scheduling::PlacementRule;
use sim::{Report, patterns};

/// Share of the worth that users ask for on days with trouble.
const TARGET: f64 = 0.87;

/// Share of the room that the usual load takes.
const USUAL_SHARE: f64 = 0.7;

const SEED: u64 = 1;

fn play(name: &str, rule: PlacementRule) -> Report {
    let mut patterns = patterns().into_iter();
    let mut pattern = patterns
        .find(|pattern| pattern.name == name)
        .expect("a pattern of this name");
    pattern.deployment.rule = rule;
    pattern.play(SEED)
}

/// Checks a pattern whose load is `factor` times the usual one; of more load than room, the share
/// that there is room for is asked for.
fn check_load(name: &str, factor: f64) {
    let target = TARGET * (1.0 / (USUAL_SHARE * factor)).min(1.0);
    let chosen = play(name, PlacementRule::default());
    assert_eq!(chosen.violations, []);
    assert!(chosen.worth_share >= target, "{chosen}");
    let simple = play(name, PlacementRule::TwoChoices);
    assert!(
        chosen.worth_share > simple.worth_share,
        "{chosen}\n{simple}"
    );
    // Nothing starves: each kind is served at least half as often as all together.
    for kind in &chosen.kinds {
        assert!(kind.served_share() >= chosen.worth_share / 2.0, "{chosen}");
    }
}

fn check(name: &str) {
    check_load(name, 1.0);
}

#[test]
fn usual_load() {
    check("usual");
}

#[test]
fn burst_of_one_kind() {
    check("burst_of_small");
}

#[test]
fn burst_of_all_kinds() {
    check("burst_of_all");
}

#[test]
fn steady_overload() {
    check_load("steady_overload", 1.5);
}

#[test]
fn wide_jobs() {
    check("wide_jobs");
}

#[test]
fn clients_that_leave() {
    check("leaving_clients");
}

#[test]
fn a_third_of_the_targets_slow() {
    check("third_slow");
}

#[test]
fn a_third_of_the_targets_hanging() {
    check("third_hanging");
}

#[test]
fn a_third_of_the_targets_failing() {
    check("third_failing");
}

#[test]
fn room_lost_at_once() {
    check("room_lost");
}
