//! The binary `shallotcross-agent`: runs the agent, the process that starts tasks on a target.

use std::process::ExitCode;

use shallotcross::{AGENT, run_program};

fn main() -> ExitCode {
    run_program(&AGENT)
}
