//! Runs the process beside a target.

use std::process::ExitCode;

use shallotcross::{AGENT, run_program};

fn main() -> ExitCode {
    run_program(&AGENT)
}
