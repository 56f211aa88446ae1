//! Checks the operators' configuration folder.

use std::path::Path;

use errors::{ExitCode, Result};
use getopts::Options;

use crate::cli::{Command, Usage, print_report};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "check",
    summary: "check the operators' folder",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let merged = config::merge_folder(Path::new(arguments.positional(0)));
    let report = operators::render_check(&merged);
    print_report(&report.text, report.exit_code)
}

fn usage() -> Usage {
    let summary =
        "Merges the files of the operators' folder and reports each error with its file and key.";
    Usage::new("shallotcross check", &["DIR"], summary, Options::new())
}
