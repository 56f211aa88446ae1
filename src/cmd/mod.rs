//! Commands of both binaries, one module each.

mod admin;
mod agent;
mod cancel;
mod check;
mod demo;
mod drain;
mod dump;
mod explain;
mod gateway;
mod job;
mod publish;
mod serve;
mod show;
mod sidecar;
mod status;
mod submit;

use errors::{ExitCode, Result};

use crate::cli::{Command, Program, run_command};

/// The program that runs an entry and the commands for operators and callers.
pub const SHALLOTCROSS: Program = Program {
    name: "shallotcross",
    run: run_shallotcross,
};

/// The program that runs an agent.
pub const AGENT: Program = Program {
    name: agent::NAME,
    run: agent::run,
};

const COMMANDS: &[&Command] = &[
    &serve::COMMAND,
    &gateway::COMMAND,
    &demo::COMMAND,
    &check::COMMAND,
    &publish::COMMAND,
    &show::COMMAND,
    &submit::COMMAND,
    &status::COMMAND,
    &cancel::COMMAND,
    &dump::COMMAND,
    &explain::COMMAND,
    &drain::COMMAND,
];

fn run_shallotcross(args: &[String]) -> Result<ExitCode> {
    run_command(SHALLOTCROSS.name, COMMANDS, args)
}
