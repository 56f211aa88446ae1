//! Benchmarks of the whole path of a job, with the real programs as processes on loopback.
//!
//! The programs are taken from the folder of the benchmark's own binary, so they must have
//! been built in the same profile: `cargo build --release --bins --examples`.

mod client;
mod idle;
mod latency;
mod process;
mod report;
mod system;
mod throughput;
mod usage;

use std::error::Error;
use std::fs::File;
use std::process::ExitCode;

use getopts::{Matches, Options};

use crate::report::Report;

/// Result of a step of a benchmark.
type BenchResult<T> = Result<T, Box<dyn Error>>;

/// Benchmarks in the order in which they run by default.
const BENCHMARKS: [&str; 3] = ["latency", "throughput", "idle"];

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt(
        "j",
        "json",
        "file for the results, one JSON object per line",
        "FILE",
    );
    options.optopt(
        "s",
        "seconds",
        "duration of each measurement in seconds",
        "S",
    );
    options.optopt("a", "agents", "number of agents in `throughput`", "N");
    options.optopt(
        "c",
        "connections",
        "connections per client thread in `throughput`",
        "N",
    );
    options.optopt(
        "t",
        "threads",
        "number of client threads in `throughput`",
        "N",
    );
    options.optopt(
        "",
        "idle-agents",
        "numbers of agents in `idle`, separated by commas",
        "LIST",
    );
    options.optopt(
        "",
        "idle-entries",
        "numbers of entries in `idle`, separated by commas",
        "LIST",
    );
    options.optflag(
        "",
        "tasks-190-only",
        "in `throughput`, only measure jobs of 190 tasks",
    );
    options.optflag(
        "",
        "tasks-1-only",
        "in `throughput`, only measure jobs of one task",
    );
    options
}

/// Parses the value of an option as a list of numbers separated by commas.
fn number_list(matches: &Matches, name: &str, default: &[usize]) -> BenchResult<Vec<usize>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default.to_vec());
    };
    let numbers = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
    Ok(numbers)
}

fn throughput_settings(matches: &Matches) -> BenchResult<throughput::Settings> {
    let mut job_sizes = vec![1, 10, 190];
    if matches.opt_present("tasks-190-only") {
        job_sizes = vec![190];
    }
    if matches.opt_present("tasks-1-only") {
        job_sizes = vec![1];
    }
    Ok(throughput::Settings {
        seconds: matches.opt_get_default("seconds", 5)?,
        agents: matches.opt_get_default("agents", 4)?,
        connections: matches.opt_get_default("connections", 32)?,
        threads: matches.opt_get_default("threads", 2)?,
        job_sizes,
    })
}

fn run_benchmark(benchmark: &str, matches: &Matches, report: &mut Report) -> BenchResult<()> {
    match benchmark {
        "latency" => latency::run(matches.opt_get_default("seconds", 3)?, report),
        "throughput" => throughput::run(&throughput_settings(matches)?, report),
        "idle" => {
            let settings = idle::Settings {
                seconds: matches.opt_get_default("seconds", 10)?,
                agents: number_list(matches, "idle-agents", &[1, 4, 11, 40])?,
                entries: number_list(matches, "idle-entries", &[1, 2, 4, 8])?,
            };
            idle::run(&settings, report)
        }
        _ => Err(format!(
            "unknown benchmark `{benchmark}`; expected one of: {}",
            BENCHMARKS.join(", ")
        )
        .into()),
    }
}

fn run() -> BenchResult<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = "Usage: bench-path [latency] [throughput] [idle] [options]";
        print!("{}", options.usage(brief));
        return Ok(());
    }
    let mut report = match matches.opt_str("json") {
        Some(path) => Report::with_json_lines(File::create(path)?),
        None => Report::default(),
    };
    let requested: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let benchmarks = if requested.is_empty() {
        &BENCHMARKS[..]
    } else {
        &requested
    };
    for benchmark in benchmarks {
        run_benchmark(benchmark, &matches, &mut report)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench-path: {error}");
            ExitCode::FAILURE
        }
    }
}
