//! Runs an entry on the users' platform.

use config::GatewaySettings;
use errors::{ExitCode, Result};
use gateway::GatewayProcess;
use getopts::Options;

use crate::cli::{Command, Usage};
use crate::process::{serve_on_platform, settings_path};
use crate::settings_file::SettingsFile;

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
    let path = settings_path(arguments.text("settings"))?;
    let file = SettingsFile::read(path, GatewaySettings::from_toml)?;
    let settings = file.settings().clone();
    let log = settings.log.clone();
    serve_on_platform("gateway", &log, file, |drain| {
        let process = GatewayProcess::bind(settings)?;
        Ok((
            process.state_reporter(),
            process.reload(),
            process.run(drain),
        ))
    })
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of the entry, in TOML", "FILE");
    let summary = "Runs an entry on the users' platform. Without --settings the path is taken from \
                   SHALLOTCROSS_CONFIG.\nSIGTERM drains it, SIGUSR1 dumps its state. \
                   Changed settings are read on SIGHUP and every second.";
    Usage::new("shallotcross gateway", &[], summary, options)
}
