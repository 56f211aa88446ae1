//! Runs the process beside a target.

use std::path::Path;

use agent::AgentProcess;
use config::AgentSettings;
use errors::{ExitCode, Result};
use getopts::Options;

use super::sidecar;
use crate::cli::{Usage, print, version};
use crate::process::serve;

/// Name of the binary.
pub(super) const NAME: &str = "shallotcross-agent";

/// Runs until a signal has drained the process.
pub(super) fn run(args: &[String]) -> Result<ExitCode> {
    if args.iter().any(|arg| arg == "--version" || arg == "-V") {
        return print(&version(NAME));
    }
    if let Some((name, rest)) = args.split_first()
        && name == sidecar::NAME
    {
        return sidecar::run(rest);
    }
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let settings = AgentSettings::load(Path::new(&arguments.required("settings")?))?;
    let log = settings.log.clone();
    serve("agent", &log, |drain| {
        let process = AgentProcess::bind(settings)?;
        Ok((process.state_reporter(), process.run(drain)))
    })
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings of the agent, in TOML", "FILE");
    options.optflag("V", "version", "print the version");
    let summary = "Runs the process beside a target. SIGTERM drains it, SIGUSR1 dumps its state.\n\
                   `shallotcross-agent sidecar` runs it on the users' platform.";
    Usage::new(NAME, &[], summary, options)
}
