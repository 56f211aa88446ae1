//! Shows a job.

use errors::{ExitCode, Result};
use web::Method;

use super::job::{ask_about_job, job_usage};
use crate::cli::{Command, print};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "status",
    summary: "show a job, with its answer if it has one",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let usage = job_usage(
        "shallotcross status",
        "Shows a job, with its answer if it has one.",
    );
    let Some(arguments) = usage.parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let (body, answer) = ask_about_job(&arguments, &Method::GET)?;
    print(&body)?;
    answer.error().map_or(Ok(ExitCode::Ok), Err)
}
