//! Patterns of load with wrong declarations of run times, and with uneven tasks within a job.

use sim::{Report, patterns};

const SEED: u64 = 1;

/// Share of the worth by which wrong declarations may lower what is served.
const MAX_LOSS: f64 = 0.05;

/// Least share of runs between the 10% and the 90% quantile of their forecasts.
const MIN_BAND_SHARE: f64 = 0.7;

fn run(name: &str, declared_deviation: f64, task_deviation: f64) -> Report {
    let mut patterns = patterns().into_iter();
    let mut pattern = patterns
        .find(|pattern| pattern.name == name)
        .expect("a pattern of this name");
    pattern.load.declared_deviation = declared_deviation;
    pattern.load.task_deviation = task_deviation;
    pattern.run(SEED)
}

/// Compares declarations that are far off with right ones. Hosts looked slower the more declared
/// times erred, and jobs were refused while hosts were idle.
fn check(name: &str) {
    let right = run(name, 0.0, 0.15);
    for (declared_deviation, task_deviation) in [(0.8, 0.15), (0.8, 0.6)] {
        let wrong = run(name, declared_deviation, task_deviation);
        assert_eq!(wrong.violations, []);
        assert!(
            wrong.worth_share >= right.worth_share - MAX_LOSS,
            "{right}\n{wrong}"
        );
        let band_share = wrong.forecasts.run.band_share();
        assert!(band_share >= MIN_BAND_SHARE, "{band_share}\n{wrong}");
    }
}

#[test]
fn wrong_declarations_cost_little_at_the_usual_load() {
    check("usual");
}

#[test]
fn wrong_declarations_cost_little_in_a_burst() {
    check("burst_of_all");
}

#[test]
fn wrong_declarations_cost_little_while_hosts_are_slow() {
    check("third_slow");
}
