//! Measures the whole path with the real programs as processes on loopback.
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

/// What every part of the benchmark returns.
type Outcome<T> = Result<T, Box<dyn Error>>;

const PARTS: [&str; 3] = ["latency", "throughput", "idle"];

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("j", "json", "file for one JSON object a line", "FILE");
    options.optopt("s", "seconds", "length of a measurement", "S");
    options.optopt("a", "agents", "agents of the throughput part", "N");
    options.optopt("c", "connections", "connections of a client thread", "N");
    options.optopt("t", "threads", "client threads of the throughput part", "N");
    options.optopt(
        "",
        "idle-agents",
        "numbers of agents, separated by commas",
        "LIST",
    );
    options.optopt(
        "",
        "idle-entries",
        "numbers of entries, separated by commas",
        "LIST",
    );
    options.optflag("", "tasks-190-only", "throughput of jobs of 190 tasks only");
    options.optflag("", "tasks-1-only", "throughput of jobs of one task only");
    options
}

fn numbers(matches: &Matches, name: &str, default: &[usize]) -> Outcome<Vec<usize>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default.to_vec());
    };
    let numbers = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
    Ok(numbers)
}

fn throughput_settings(matches: &Matches) -> Outcome<throughput::Settings> {
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

fn run_part(part: &str, matches: &Matches, report: &mut Report) -> Outcome<()> {
    match part {
        "latency" => latency::run(matches.opt_get_default("seconds", 3)?, report),
        "throughput" => throughput::run(&throughput_settings(matches)?, report),
        "idle" => {
            let settings = idle::Settings {
                seconds: matches.opt_get_default("seconds", 10)?,
                agents: numbers(matches, "idle-agents", &[1, 4, 11, 40])?,
                entries: numbers(matches, "idle-entries", &[1, 2, 4, 8])?,
            };
            idle::run(&settings, report)
        }
        _ => Err(format!("no part {part}; there are {}", PARTS.join(", ")).into()),
    }
}

fn run() -> Outcome<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = "Usage: bench-path [latency] [throughput] [idle] [options]";
        print!("{}", options.usage(brief));
        return Ok(());
    }
    let mut report = match matches.opt_str("json") {
        Some(path) => Report::with_lines(File::create(path)?),
        None => Report::default(),
    };
    let named: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let parts = if named.is_empty() { &PARTS[..] } else { &named };
    for part in parts {
        run_part(part, &matches, &mut report)?;
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
