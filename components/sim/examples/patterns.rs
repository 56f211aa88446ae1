//! Prints how each placement rule serves each pattern of load, as a Markdown table.

use scheduling::PlacementRule;
use sim::{Report, Scenario, patterns};
use strum::IntoEnumIterator;

const SEEDS: [u64; 3] = [1, 2, 3];

fn run_with_rule(scenario: &Scenario, rule: PlacementRule) -> Vec<Report> {
    let mut scenario = scenario.clone();
    scenario.deployment.rule = rule;
    SEEDS.iter().map(|seed| scenario.run(*seed)).collect()
}

fn mean(reports: &[Report], figure: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len() as f64
}

fn worst_kind(report: &Report) -> f64 {
    let shares = report.kinds.iter().map(|kind| kind.in_time_share());
    shares.fold(1.0, f64::min)
}

fn longest_refusal_ms(report: &Report) -> f64 {
    let kinds = report.kinds.iter();
    kinds.map(|kind| kind.longest_refusal_ms).max().unwrap_or(0) as f64
}

fn print_row(name: &str, rule: PlacementRule, reports: &[Report]) {
    let wasted = |report: &Report| report.wasted_core_s / report.used_core_s.max(1e-9);
    let per_task = |report: &Report| report.messages as f64 / report.starts.max(1) as f64;
    println!(
        "| {name} | {} | {:.3} | {:.3} | {:.3} | {:.2} | {:.0} |",
        <&str>::from(rule),
        mean(reports, |report| report.worth_share),
        mean(reports, worst_kind),
        mean(reports, wasted),
        mean(reports, per_task),
        mean(reports, longest_refusal_ms),
    );
}

fn main() {
    let only = std::env::args().nth(1);
    println!(
        "| pattern | rule | worth | worst kind in time | waste | messages per task | longest refusal ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for scenario in patterns() {
        if only.as_deref().is_some_and(|only| only != scenario.name) {
            continue;
        }
        for rule in PlacementRule::iter() {
            print_row(scenario.name, rule, &run_with_rule(&scenario, rule));
        }
    }
}
