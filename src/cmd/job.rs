//! Shared by the commands that act on one submitted job.

use errors::Result;
use getopts::Options;
use web::Method;

use crate::answer::JobAnswer;
use crate::cli::{Arguments, Usage};
use crate::entry_client::{EntryClient, job_path, read_token};
use crate::process::block_on;

/// Returns the usage of a command that takes the id of a job.
pub(super) fn job_usage(command: &'static str, summary: &'static str) -> Usage {
    let mut options = Options::new();
    options.reqopt("e", "entry", "address of an entry", "ADDR");
    options.optopt(
        "t",
        "token-file",
        "file with the firm's token; else $SHALLOTCROSS_TOKEN",
        "FILE",
    );
    Usage::new(command, &["ID"], summary, options)
}

/// Sends a request to the route of a job and returns the body and the parsed answer.
pub(super) fn request_job(arguments: &Arguments, method: &Method) -> Result<(String, JobAnswer)> {
    let entries = arguments.addresses("entry")?;
    let token = read_token(arguments.value("token-file").as_deref())?;
    let path = job_path(arguments.positional(0));
    let response = block_on(async {
        let client = EntryClient::new(entries, Some(&token))?;
        client.request(method.clone(), &path).await
    })?;
    let answer = JobAnswer::parse(&response)?;
    Ok((
        format!("{}\n", String::from_utf8_lossy(&response.body)),
        answer,
    ))
}
