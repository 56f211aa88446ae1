//! Runs an entry.

use std::path::Path;

use config::EntrySettings;
use entry::EntryProcess;
use errors::{ExitCode, Result};
use getopts::Options;

use crate::cli::{Command, Usage};
use crate::process::serve;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "serve",
    summary: "run an entry",
    run,
};

/// Runs until a signal has drained the process.
fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let settings = EntrySettings::load(Path::new(&arguments.required("settings")?))?;
    let log = settings.log.clone();
    serve("entry", &log, |drain| {
        let process = EntryProcess::bind(settings)?;
        Ok((process.state_reporter(), process.run(drain)))
    })
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings of the entry, in TOML", "FILE");
    let summary = "Runs an entry. SIGTERM drains it, SIGUSR1 dumps its state.";
    Usage::new("shallotcross serve", &[], summary, options)
}
