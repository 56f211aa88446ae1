//! Tasks that slow each other down, with and without keeping them apart, at 60% load.

use sim::{Fault, FaultKind, Interference, Report, Scenario, deployment, usual_load};

const SEED: u64 = 1;

/// Duration of the load, in milliseconds. Of 20 s, 4 s pass before a pair is believed, and some more until
/// the backlog of that time is gone, so that little more than two thirds of the loss could be won back.
const LOAD_MS: u64 = 40_000;

/// Duration where that does not matter.
const SHORT_LOAD_MS: u64 = 20_000;

/// Load relative to that of which the usual load uses 70%.
const LOAD_FACTOR: f64 = 0.6 / 0.7;

/// Numbers of the kinds of the usual load.
const QUICK: usize = 0;
const LONG: usize = 1;
const SMALL: usize = 2;

/// Time within which a pair must be found, in milliseconds.
const FOUND_MS: u64 = 10_000;

/// Least share of the loss that must be won back.
const WON_BACK_SHARE: f64 = 2.0 / 3.0;

fn pair(one: usize, other: usize) -> Interference {
    Interference::Pair {
        kinds: (one, other),
        factor: 2.0,
    }
}

fn run(interference: Interference, separates: bool, load_ms: u64, faults: &[Fault]) -> Report {
    let mut deployment = deployment(4, 11);
    deployment.separates_interfering = separates;
    for target in &mut deployment.targets {
        target.interference = interference;
    }
    let scenario = Scenario {
        name: "interference",
        deployment,
        load: usual_load(11, LOAD_FACTOR),
        load_ms,
        faults: faults.to_vec(),
    };
    let report = scenario.run(SEED);
    assert_eq!(report.violations, []);
    report
}

/// Checks how much of the loss is won back, and returns the report of the run that keeps tasks apart.
fn check_won_back(interference: Interference, faults: &[Fault]) -> Report {
    let clean = run(Interference::None, false, LOAD_MS, faults).worth_share;
    let without = run(interference, false, LOAD_MS, faults).worth_share;
    let with = run(interference, true, LOAD_MS, faults);
    let share = (with.worth_share - without) / (clean - without);
    assert!(share >= WON_BACK_SHARE, "{clean} {without} {share}\n{with}");
    let (first_ms, change) = with.pair_changes.first().expect("a pair");
    assert!(change.is_believed && *first_ms <= FOUND_MS, "{first_ms}");
    with
}

/// Guards against separation that costs something where nothing interferes.
#[test]
fn nothing_changes_without_interference() {
    let without = run(Interference::None, false, SHORT_LOAD_MS, &[]);
    let with = run(Interference::None, true, SHORT_LOAD_MS, &[]);
    assert_eq!(with, without);
}

/// Guards against pairs that are found too late or not kept apart, and against long tasks that wait past
/// their objective to spare quick ones.
#[test]
fn the_loss_to_a_pair_that_doubles_run_times_is_won_back() {
    let with = check_won_back(pair(QUICK, LONG), &[]);
    assert!(with.kinds[LONG].in_time_share() > 0.9, "{with}");
}

/// Guards against beliefs that depend on agents which have lost their state.
#[test]
fn beliefs_survive_agents_that_restart_and_forget() {
    let restarts: Vec<Fault> = (0..4)
        .map(|place| Fault {
            kind: FaultKind::KillAgent,
            place,
            at_ms: LOAD_MS / 2,
            for_ms: 500,
            strength: 1.0,
        })
        .collect();
    let with = check_won_back(pair(QUICK, SMALL), &restarts);
    let is_dropped = with
        .pair_changes
        .iter()
        .any(|(_, change)| !change.is_believed);
    assert!(!is_dropped, "{:?}", with.pair_changes);
}

/// Guards against separation that does harm while interference changes, or if one kind disturbs all.
#[test]
fn separation_helps_with_a_disturber_and_with_changing_interference() {
    for interference in [
        Interference::Disturber {
            kind: LONG,
            factor: 1.6,
        },
        Interference::Changing {
            kinds: (QUICK, SMALL),
            factor: 2.0,
            period_ms: 4_000,
        },
    ] {
        let without = run(interference, false, SHORT_LOAD_MS, &[]);
        let with = run(interference, true, SHORT_LOAD_MS, &[]);
        assert!(with.worth_share > without.worth_share, "{without}\n{with}");
    }
}
