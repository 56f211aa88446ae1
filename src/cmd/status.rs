//! Shows the state of a job.

use errors::{ExitCode, Result};
use web::Method;

use super::job::{job_usage, request_job};
use crate::cli::{Command, print};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "status",
    summary: "show the state of a job and its answer, if any",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let usage = job_usage(
        "shallotcross status",
        "Shows the state of a job and its answer, if any.",
    );
    let Some(arguments) = usage.parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let (body, answer) = request_job(&arguments, &Method::GET)?;
    print(&body)?;
    answer.error().map_or(Ok(ExitCode::Ok), Err)
}
