//! Prints how wrong declarations affect each pattern of load, as a Markdown table.

use std::thread;

use sim::{Report, patterns};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Patterns that are compared.
const PATTERNS: [&str; 4] = ["usual", "burst_of_all", "third_slow", "third_hanging"];

/// Deviations of declared run times, and of the run times of a job's tasks.
const DEVIATIONS: [(f64, f64); 8] = [
    (0.0, 0.15),
    (0.2, 0.15),
    (0.4, 0.15),
    (0.6, 0.15),
    (0.8, 0.15),
    (1.2, 0.15),
    (0.4, 0.6),
    (0.8, 0.6),
];

fn mean(reports: &[Report], figure: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len() as f64
}

fn refused_share(report: &Report) -> f64 {
    let refused: u64 = report.kinds.iter().map(|kind| kind.refused).sum();
    let submitted: u64 = report.kinds.iter().map(|kind| kind.submitted).sum();
    refused as f64 / submitted.max(1) as f64
}

fn main() {
    let only = std::env::args().nth(1);
    println!(
        "| pattern | declared off by | tasks differ by | worth | refused | turned back a task | runs in band | bias of runs | of waits | of jobs |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for name in PATTERNS {
        if only.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        let rows =
            DEVIATIONS.map(|(declared, task)| thread::spawn(move || row(name, declared, task)));
        for row in rows {
            println!("{}", row.join().expect("a finished run"));
        }
    }
}

/// Runs a pattern with these deviations and returns the row of the table.
fn row(name: &str, declared: f64, task: f64) -> String {
    let mut scenarios = patterns().into_iter();
    let mut scenario = scenarios
        .find(|scenario| scenario.name == name)
        .expect("a pattern of this name");
    scenario.load.declared_deviation = declared;
    scenario.load.task_deviation = task;
    let reports: Vec<Report> = SEEDS.iter().map(|seed| scenario.run(*seed)).collect();
    let turned_back = |report: &Report| report.turned_back as f64 / report.starts.max(1) as f64;
    format!(
        "| {name} | {declared} | {task} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} |",
        mean(&reports, |report| report.worth_share),
        mean(&reports, refused_share),
        mean(&reports, turned_back),
        mean(&reports, |report| report.forecasts.run.band_share()),
        mean(&reports, |report| report.forecasts.run.bias()),
        mean(&reports, |report| report.forecasts.wait.bias()),
        mean(&reports, |report| report.forecasts.job.bias()),
    )
}
