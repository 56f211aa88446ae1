//! Prints what interference between kinds of task costs, and how much of that is won back by keeping
//! them apart.
//!
//! `cargo run --release -p sim --example interference [SEEDS] [LOAD_MS] [CASE]`

use sim::{Fault, FaultKind, Interference, Report, Scenario, deployment, usual_load};

/// Load relative to the capacity, and that of the usual load with a factor of one.
const LOAD_SHARE: f64 = 0.6;
const USUAL_SHARE: f64 = 0.7;

/// Numbers of the kinds of the usual load.
const QUICK: usize = 0;
const LONG: usize = 1;
const SMALL: usize = 2;

fn run(
    seed: u64,
    load_ms: u64,
    interference: Interference,
    separates: bool,
    faults: &[Fault],
) -> Report {
    let mut deployment = deployment(4, 11);
    deployment.separates_interfering = separates;
    for target in &mut deployment.targets {
        target.interference = interference;
    }
    let scenario = Scenario {
        name: "interference",
        deployment,
        load: usual_load(11, LOAD_SHARE / USUAL_SHARE),
        load_ms,
        faults: faults.to_vec(),
    };
    scenario.run(seed)
}

/// Returns when the first pair was believed, in milliseconds, and the numbers of beliefs and drops.
fn changes(report: &Report) -> (Option<u64>, usize, usize) {
    let first = report.pair_changes.iter().find(|(_, at)| at.is_believed);
    let believed = report.pair_changes.iter().filter(|(_, at)| at.is_believed);
    let believed = believed.count();
    (
        first.map(|(at_ms, _)| *at_ms),
        believed,
        report.pair_changes.len() - believed,
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next = |default| {
        arguments
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let seeds: u64 = next(4);
    let load_ms: u64 = next(40_000);
    let only = std::env::args().nth(3);
    let pair = |one, other| Interference::Pair {
        kinds: (one, other),
        factor: 2.0,
    };
    let restarts: Vec<Fault> = (0..4)
        .map(|host| Fault {
            kind: FaultKind::KillAgent,
            place: host,
            at_ms: load_ms / 2,
            for_ms: 500,
            strength: 1.0,
        })
        .collect();
    let cases: Vec<(&str, Interference, &[Fault])> = vec![
        ("none", Interference::None, &[]),
        ("quick+small", pair(QUICK, SMALL), &[]),
        ("quick+long", pair(QUICK, LONG), &[]),
        ("long+small", pair(LONG, SMALL), &[]),
        (
            "long disturbs all",
            Interference::Disturber {
                kind: LONG,
                factor: 1.6,
            },
            &[],
        ),
        (
            "quick+small, 4 s on and off",
            Interference::Changing {
                kinds: (QUICK, SMALL),
                factor: 2.0,
                period_ms: 4_000,
            },
            &[],
        ),
        (
            "quick+small, 4 agents restart",
            pair(QUICK, SMALL),
            &restarts,
        ),
    ];
    println!(
        "case | seed | none | without | with | won back | first ms | believed | dropped | violations"
    );
    for (name, interference, faults) in cases {
        if only.as_ref().is_some_and(|only| *only != name) {
            continue;
        }
        let (mut lost, mut won) = (0.0, 0.0);
        for seed in 1..=seeds {
            let clean = run(seed, load_ms, Interference::None, false, faults);
            let without = run(seed, load_ms, interference, false, faults);
            let with = run(seed, load_ms, interference, true, faults);
            lost += clean.worth_share - without.worth_share;
            won += with.worth_share - without.worth_share;
            let (first_ms, believed, dropped) = changes(&with);
            println!(
                "{name} | {seed} | {:.3} | {:.3} | {:.3} | {:.2} | {first_ms:?} | {believed} | {dropped} | {}",
                clean.worth_share,
                without.worth_share,
                with.worth_share,
                (with.worth_share - without.worth_share)
                    / (clean.worth_share - without.worth_share),
                with.violations.len(),
            );
            if std::env::var_os("CHANGES").is_some() {
                println!("{without}{with}");
                for (at_ms, change) in &with.pair_changes {
                    println!("  {at_ms} {change:?}");
                }
            }
        }
        println!(
            "{name} | mean loss {:.3}, won back {:.2}",
            lost / seeds as f64,
            won / lost
        );
    }
}
