//! Cancels a job.

use errors::{Error, ExitCode, Result};
use web::Method;

use super::job::{ask_about_job, job_usage};
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
        "Cancels a job; tasks that have not started will not.",
    );
    let Some(arguments) = usage.parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let (body, answer) = ask_about_job(&arguments, &Method::DELETE)?;
    print(&body)?;
    if answer.is_cancelled() {
        return Ok(ExitCode::Ok);
    }
    let has_answer = || Error::new(ExitCode::Failure, "the job has its answer already");
    Err(answer.error().unwrap_or_else(has_answer))
}
