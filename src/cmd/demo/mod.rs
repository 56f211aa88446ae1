//! Shows the whole path in one process on loopback.

mod firm;
mod stay;
mod steps;
mod system;

use errors::{Error, ExitCode, Result};
use getopts::Options;
use log::LevelFilter;
use runtime::{LogOptions, Signals};

use crate::cli::{Command, Usage, print};
use crate::process::block_on;
use steps::show_steps;
use system::System;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "demo",
    summary: "show the whole path in one process on loopback",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let level = match arguments.flag("verbose") {
        true => LevelFilter::Info,
        false => LevelFilter::Error,
    };
    let options = LogOptions {
        level,
        ..LogOptions::default()
    };
    runtime::init_logging(options).map_err(|error| failure(error.to_string()))?;
    block_on(demonstrate(arguments.flag("stay")))
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optflag("", "stay", "stay up and print addresses and curl commands");
    options.optflag("v", "verbose", "print the log of every part");
    let summary = "Starts a stand-in of the platform, two entries, four agents and four stand-ins\n\
                   of targets in this process, on loopback. Publishes a configuration, submits\n\
                   a job for each firm, submits one again, has one refused, and dumps a state.";
    Usage::new("shallotcross demo", &[], summary, options)
}

async fn demonstrate(stay: bool) -> Result<ExitCode> {
    let system = System::start().await?;
    show_steps(&system).await?;
    if stay {
        let signals = Signals::install().map_err(|error| failure(error.to_string()))?;
        print(&stay::instructions(&system))?;
        signals.drain_requested().await;
    }
    print("\n== everything drains and ends\n")?;
    system.stop().await;
    print("the demo succeeded\n")
}

/// Returns the error for a step that went wrong.
fn failure(message: impl Into<String>) -> Error {
    Error::new(ExitCode::Failure, message)
        .with_place("demo")
        .with_remedy("run it with --verbose to see the log")
}
