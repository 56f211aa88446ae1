//! A run of the fault matrix over one seed; the binary `prove` runs it over more seeds.

use proof::campaign::Campaign;
use proof::check::Violation;
use proof::world::{BaseEvent, Injection, MatrixFault, Scenario, Timing, run};

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
    let outcome = run(Scenario::without_faults(3));
    assert_eq!(outcome.violations, Vec::new());
}

#[test]
fn runs_of_the_same_seed_are_the_same() {
    let one = run(Scenario::without_faults(11));
    let other = run(Scenario::without_faults(11));
    assert_eq!(one.history, other.history);
}

fn violations_of(seed: u64, injections: [(u64, Timing, MatrixFault); 2]) -> Vec<Violation> {
    let mut scenario = Scenario::new(seed, BaseEvent::Calm);
    for (event, timing, fault) in injections {
        scenario = scenario.with(Injection {
            event,
            timing,
            fault,
        });
    }
    run(scenario).violations
}

#[test]
fn stop_during_the_hand_over_of_an_earlier_stop_fails_no_job() {
    let violations = violations_of(
        1011,
        [
            (2634, Timing::After, MatrixFault::RollingReplacement),
            (6646, Timing::Before, MatrixFault::PlannedStop),
        ],
    );
    assert_eq!(violations, Vec::new());
}

#[test]
fn stops_in_turn_after_the_platform_was_slow_fail_no_job() {
    let violations = violations_of(
        1013,
        [
            (2152, Timing::During, MatrixFault::PlatformSlow),
            (4605, Timing::During, MatrixFault::RollingReplacement),
        ],
    );
    assert_eq!(violations, Vec::new());
}
