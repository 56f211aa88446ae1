//! Runs an agent on the users' platform.

use config::SidecarSettings;
use errors::{ExitCode, Result};
use getopts::Options;
use sidecar::SidecarProcess;

use crate::cli::Usage;
use crate::process::{serve_on_platform, settings_path};
use crate::settings_file::SettingsFile;

/// Name of the command.
pub(super) const NAME: &str = "sidecar";

/// Runs until a signal has drained the process.
pub(super) fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let path = settings_path(arguments.text("settings"))?;
    let file = SettingsFile::read(path, SidecarSettings::from_toml)?;
    let settings = file.settings().clone();
    let log = settings.log.clone();
    serve_on_platform("sidecar", &log, file, |drain| {
        let process = SidecarProcess::bind(settings)?;
        Ok((
            process.state_reporter(),
            process.reload(),
            process.run(drain),
        ))
    })
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of the agent, in TOML", "FILE");
    let summary = "Runs the agent beside a target of the users' platform. Without --settings the \
                   path is taken\nfrom SHALLOTCROSS_CONFIG. SIGTERM drains it, SIGUSR1 dumps its \
                   state.\nChanged settings are read on SIGHUP and every second.";
    Usage::new("shallotcross-agent sidecar", &[], summary, options)
}
