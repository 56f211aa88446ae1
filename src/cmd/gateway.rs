//! Runs an entry on the users' platform.

use config::GatewaySettings;
use errors::{ExitCode, Result};
use gateway::GatewayProcess;
use getopts::Options;

use crate::cli::{Command, Usage};
use crate::process::{serve_on_platform, settings_path};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "gateway",
    summary: "run an entry on the users' platform",
    run,
};

/// Runs until a signal has drained the process.
fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let settings = GatewaySettings::load(&settings_path(arguments.text("settings"))?)?;
    let log = settings.log.clone();
    serve_on_platform("gateway", &log, |drain, signals| {
        let process = GatewayProcess::bind(settings)?;
        Ok((process.state(), process.run(drain, signals)))
    })
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of the entry, in TOML", "FILE");
    let summary = "Runs an entry on the users' platform. Without --settings the path is taken from \
                   SHALLOTCROSS_CONFIG.\nSIGTERM drains it, SIGUSR1 dumps its state.";
    Usage::new("shallotcross gateway", &[], summary, options)
}
