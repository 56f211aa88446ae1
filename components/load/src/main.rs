//! Command line of the `load` tool.

mod capacity_command;
mod cost_command;

use std::path::Path;
use std::process::ExitCode;

use getopts::{Matches, Options};
use load::contender::Contender;
use load::deployment::Deployment;
use load::experiment::{self, RunResult};
use load::plot;
use load::report::{self, Spread, Summary};
use load::scenarios::ScenarioName;
use strum::IntoEnumIterator;

const USAGE: &str = "usage: load compare [options]
       load cost [--json]
       load capacity
       load list";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => return print_error(&error.to_string(), &options),
    };
    let outcome = match matches.free.first().map(String::as_str) {
        Some("compare") => compare(&matches),
        Some("cost") => {
            cost_command::run(matches.opt_present("json"));
            Ok(())
        }
        Some("capacity") => {
            capacity_command::run();
            Ok(())
        }
        Some("list") => {
            list_scenarios();
            Ok(())
        }
        _ => Err("missing or unknown command".to_owned()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&error, &options),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "scenario", "names, separated by commas", "NAMES");
    options.optopt("", "deployment", "names, separated by commas", "NAMES");
    options.optopt("", "policy", "names, separated by commas", "NAMES");
    options.optopt("", "seeds", "number of seeds", "COUNT");
    options.optopt("", "threads", "number of parallel runs", "COUNT");
    options.optflag("", "json", "print each run as a line of JSON");
    options.optflag("", "matrix", "print a table for each metric");
    options.optopt("", "svg", "write plots", "DIR");
    options
}

fn print_error(error: &str, options: &Options) -> ExitCode {
    eprintln!("load: {error}\n{}", options.usage(USAGE));
    ExitCode::FAILURE
}

fn list_scenarios() {
    for name in ScenarioName::iter() {
        println!("{name}");
    }
}

/// Parses a list of names; returns all names if the option is missing.
fn parse_names<T>(matches: &Matches, option: &str) -> Result<Vec<T>, String>
where
    T: IntoEnumIterator + std::str::FromStr,
{
    let Some(text) = matches.opt_str(option) else {
        return Ok(T::iter().collect());
    };
    text.split(',')
        .map(|name| name.parse().map_err(|_| format!("unknown {option} {name}")))
        .collect()
}

fn parse_number(matches: &Matches, option: &str, default: u64) -> Result<u64, String> {
    matches.opt_str(option).map_or(Ok(default), |text| {
        text.parse()
            .map_err(|_| format!("--{option} takes a number"))
    })
}

fn compare(matches: &Matches) -> Result<(), String> {
    let scenarios: Vec<ScenarioName> = parse_names(matches, "scenario")?;
    let deployments: Vec<Deployment> = parse_names(matches, "deployment")?;
    let contenders: Vec<Contender> = parse_names(matches, "policy")?;
    let seeds = parse_number(matches, "seeds", 3)?;
    let threads = parse_number(matches, "threads", 4)?.max(1) as usize;
    let mut cells = Vec::new();
    for &name in &scenarios {
        for &deployment in &deployments {
            for &contender in &contenders {
                cells.push((name, deployment, contender));
            }
        }
    }
    let results = run_cells(&cells, seeds, threads);
    if matches.opt_present("json") {
        for run in results.iter().flatten() {
            println!("{}", report::json_line(run));
        }
        return Ok(());
    }
    let summaries: Vec<Summary> = results.iter().map(|runs| Summary::of(runs)).collect();
    if let Some(folder) = matches.opt_str("svg") {
        write_plots(&folder, &deployments, &summaries)?;
    }
    if matches.opt_present("matrix") {
        print_matrices(&summaries);
    } else {
        print!("{}", report::table(&summaries));
    }
    Ok(())
}

fn print_matrices(summaries: &[Summary]) {
    let figures: [Figure; 5] = [
        ("p99 over ideal", |summary| summary.ratio_p99),
        ("p50 over ideal", |summary| summary.ratio_p50),
        ("goodput", |summary| summary.goodput),
        ("wasted messages per task", |summary| summary.waste_per_task),
        ("envelopes over minimum", |summary| {
            summary.messages_over_least
        }),
    ];
    for (title, figure) in figures {
        println!("{}", report::matrix(title, summaries, figure));
    }
    let broken: u64 = summaries.iter().map(|summary| summary.broken).sum();
    println!("Jobs lost, tasks started twice and jobs falsely refused, over all runs: {broken}");
}

type Figure = (&'static str, fn(&Summary) -> Spread);

fn write_plots(
    folder: &str,
    deployments: &[Deployment],
    summaries: &[Summary],
) -> Result<(), String> {
    for deployment in deployments {
        let name = deployment.to_string();
        let part: Vec<Summary> = summaries
            .iter()
            .filter(|summary| summary.deployment == name)
            .cloned()
            .collect();
        let path = |figure: &str| Path::new(folder).join(format!("{name}-{figure}.svg"));
        let p99 = "99th percentile of response time over ideal";
        plot::against_load(&path("p99"), p99, &part, |summary| summary.ratio_p99.mean)
            .map_err(|error| error.to_string())?;
        let goodput = "work completed in time, as a share of the capacity";
        plot::against_load(&path("goodput"), goodput, &part, |summary| {
            summary.goodput.mean
        })
        .map_err(|error| error.to_string())?;
    }
    Ok(())
}

type Cell = (ScenarioName, Deployment, Contender);

/// Runs every cell with every seed on `threads` threads.
fn run_cells(cells: &[Cell], seeds: u64, threads: usize) -> Vec<Vec<RunResult>> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let results = std::sync::Mutex::new(vec![Vec::new(); cells.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(&cell) = cells.get(at) else {
                        return;
                    };
                    let runs = run_cell(cell, seeds);
                    results.lock().expect("no run panics")[at] = runs;
                }
            });
        }
    });
    results.into_inner().expect("no run panics")
}

fn run_cell((name, deployment, contender): Cell, seeds: u64) -> Vec<RunResult> {
    let scenario = name.scenario(deployment);
    let policy = contender.policy();
    (1..=seeds)
        .map(|seed| experiment::run(&scenario, contender.into(), &policy, seed))
        .collect()
}
