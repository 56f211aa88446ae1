//! The binary `shallotcross`: runs an entry, and the commands for operators and callers.

use std::process::ExitCode;

use shallotcross::{SHALLOTCROSS, run_program};

fn main() -> ExitCode {
    run_program(&SHALLOTCROSS)
}
