//! Cancels a job.

use errors::{Error, ExitCode, Result};
use web::Method;

use super::job::{job_usage, request_job};
use crate::cli::{Command, print};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "cancel",
    summary: "cancel a job",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let usage = job_usage(
        "shallotcross cancel",
        "Cancels a job. Tasks that have not started are not run.",
    );
    let Some(arguments) = usage.parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let (body, answer) = request_job(&arguments, &Method::DELETE)?;
    print(&body)?;
    if answer.is_cancelled() {
        return Ok(ExitCode::Ok);
    }
    let already_answered = || Error::new(ExitCode::Failure, "the job has its answer already");
    Err(answer.error().unwrap_or_else(already_answered))
}
