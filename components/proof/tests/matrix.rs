//! A quick run of the fault matrix; `prove` runs it over more seeds.

use proof::campaign::Campaign;
use proof::world::{Scenario, run};

#[test]
fn promises_hold_at_every_step_under_every_fault() {
    let campaign = Campaign {
        first_seed: 0,
        seeds: 1,
        pairs_per_seed: 60,
        threads: std::thread::available_parallelism().map_or(1, usize::from),
    };
    let results = campaign.run();
    println!("{}\n{}", results.report, results.table());
    for failure in &results.failures {
        println!("{:?}: {:?}", failure.scenario, failure.violations);
    }
    assert!(results.failures.is_empty());
}

#[test]
fn run_without_faults_completes_most_jobs() {
    let outcome = run(Scenario::calm(3));
    assert_eq!(outcome.violations, Vec::new());
}

#[test]
fn runs_of_the_same_seed_are_the_same() {
    let one = run(Scenario::calm(11));
    let other = run(Scenario::calm(11));
    assert_eq!(one.history, other.history);
}
