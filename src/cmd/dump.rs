//! Dumps the state of a process.

use errors::{ExitCode, Result};
use getopts::Options;
use web::Method;

use super::admin::{call_process, token_option};
use crate::cli::{Command, Usage, parse_address, print};
use crate::entry_client::read_token;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "dump",
    summary: "dump the state of an entry or an agent",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let address = parse_address("ADDRESS", arguments.positional(0))?;
    let state = if arguments.has_flag("agent") {
        call_process(address, None, Method::GET, "/v1/state")?
    } else {
        let token = read_token(arguments.value("token-file").as_deref())?;
        call_process(address, Some(&token), Method::GET, "/admin/v1/state")?
    };
    print(&state)
}

fn usage() -> Usage {
    let mut options = Options::new();
    token_option(&mut options);
    options.optflag(
        "a",
        "agent",
        "ADDRESS is the announce_address of an agent, which needs no token",
    );
    let summary = "Prints the state of the process as one JSON object. ADDRESS is the\n\
                   listen_address of an entry.";
    Usage::new("shallotcross dump", &["ADDRESS"], summary, options)
}
