//! Starts the graceful shutdown of an entry.

use errors::{ExitCode, Result};
use getopts::Options;
use web::Method;

use super::admin::{call_process, token_option};
use crate::cli::{Command, Usage, parse_address, print};
use crate::entry_client::read_token;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "drain",
    summary: "start the graceful shutdown of an entry",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let address = parse_address("ADDRESS", arguments.positional(0))?;
    let token = read_token(arguments.value("token-file").as_deref())?;
    let answer = call_process(address, Some(&token), Method::POST, "/admin/v1/drain")?;
    print(&answer)
}

fn usage() -> Usage {
    let mut options = Options::new();
    token_option(&mut options);
    let summary = "Starts the graceful shutdown of an entry, as SIGTERM does: it accepts no\n\
                   new jobs, finishes those in progress, and exits.";
    Usage::new("shallotcross drain", &["ADDRESS"], summary, options)
}
