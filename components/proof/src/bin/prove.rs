//! Runs the fault matrix, prints the counts and writes the history of each failed run.

use std::fs::File;
use std::io::{self, BufWriter};
use std::path::Path;
use std::process::ExitCode;

use proof::campaign::{Campaign, Failure, Results};

/// Largest number of failed runs that are printed and whose histories are written.
const MAX_SHOWN: usize = 200;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let Some(campaign) = parse(&arguments) else {
        eprintln!("usage: prove [--seeds N] [--first-seed N] [--pairs N] [--threads N]");
        return ExitCode::from(2);
    };
    let results = campaign.run();
    print_results(&results);
    for failure in results.failures.iter().take(MAX_SHOWN) {
        if let Err(error) = print_failure(failure) {
            eprintln!("failed to write the history of a failed run: {error}");
        }
    }
    if results.failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn parse(arguments: &[String]) -> Option<Campaign> {
    let mut campaign = Campaign {
        first_seed: 0,
        seeds: 4,
        pairs_per_seed: 100,
        threads: std::thread::available_parallelism().map_or(1, usize::from),
    };
    for pair in arguments[1..].chunks(2) {
        let [name, value] = pair else {
            return None;
        };
        let value: u64 = value.parse().ok()?;
        match name.as_str() {
            "--seeds" => campaign.seeds = value,
            "--first-seed" => campaign.first_seed = value,
            "--pairs" => campaign.pairs_per_seed = value,
            "--threads" => campaign.threads = value as usize,
            _ => return None,
        }
    }
    Some(campaign)
}

fn print_results(results: &Results) {
    println!("{}", results.report);
    for (answer, count) in &results.answers {
        println!("{:<32}{count:>12}", format!("answer {answer}"));
    }
    println!();
    println!("{}", results.table());
}

fn print_failure(failure: &Failure) -> io::Result<()> {
    println!("seed {} cells {:?}", failure.scenario.seed, failure.cells);
    println!("  injections {:?}", failure.scenario.injections);
    for violation in failure.violations.iter().take(4) {
        println!("  {violation}");
    }
    let events: Vec<String> = failure
        .scenario
        .injections
        .iter()
        .map(|injection| format!("{}-{}", injection.event, <&str>::from(injection.fault)))
        .collect();
    let name = format!(
        "history-{}-{}.jsonl",
        failure.scenario.seed,
        events.join("-")
    );
    let path = Path::new("target").join(name);
    failure
        .history
        .write_json_lines(BufWriter::new(File::create(&path)?))?;
    println!("  history written to {}", path.display());
    Ok(())
}
