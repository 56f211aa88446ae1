//! Submits a job and prints its answer.

use std::fs;

use errors::{Error, ExitCode, Result};
use getopts::Options;

use crate::cli::{Command, Usage, print, print_error};
use crate::entry_client::{EntryClient, read_token};
use crate::process::block_on;
use crate::publication::random_id;
use crate::resubmission::submit;
use crate::submission::Submission;

/// Time until the deadline if neither the file nor an option names one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "submit",
    summary: "submit a job and print its answer",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let entries = arguments.addresses("entry")?;
    let retries = arguments.number("retry")?.unwrap_or(0);
    let deadline_ms = arguments.number("deadline-ms")?;
    let id = arguments.text("id").unwrap_or_else(random_id);
    let token = read_token(arguments.text("token-file").as_deref())?;
    let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let mut submission = read_submission(arguments.positional(0), deadline_ms)?;
    print_error(&announcement(&id, &submission));
    let (response, answer) = block_on(async {
        let client = EntryClient::new(entries, Some(&token))?;
        submit(&client, &id, &mut submission, retries).await
    })?;
    print(&format!("{}\n", String::from_utf8_lossy(&response.body)))?;
    answer.error().map_or(Ok(ExitCode::Ok), Err)
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.reqopt("e", "entry", "addresses of entries", "ADDR[,ADDR]");
    options.optopt(
        "t",
        "token-file",
        "file with the firm's token; else $SHALLOTCROSS_TOKEN",
        "FILE",
    );
    options.optopt("i", "id", "id of the job; else a random one", "ID");
    options.optopt(
        "d",
        "deadline-ms",
        "time until the deadline if the file names none (10000)",
        "MS",
    );
    options.optopt(
        "r",
        "retry",
        "submit anew so many times after refusals that say when to come back (0)",
        "N",
    );
    let summary = "Submits the job in FILE, the JSON body of PUT /v1/jobs/ID, and prints the \
                   answer.\nTimes that the file lacks are filled in. After a broken connection \
                   the same\nsubmission is sent again, which starts nothing twice.";
    Usage::new("shallotcross submit", &["FILE"], summary, options)
}

fn read_submission(file: &str, deadline_ms: u64) -> Result<Submission> {
    let text = fs::read(file).map_err(|error| {
        Error::new(ExitCode::Invalid, format!("cannot be read: {error}")).with_place(file)
    })?;
    Submission::parse(&text, runtime::unix_ms(), deadline_ms).map_err(|error| {
        Error::new(ExitCode::Invalid, format!("is no job: {error}"))
            .with_place(file)
            .with_remedy("write a JSON object, such as demo/job.json")
    })
}

fn announcement(id: &str, submission: &Submission) -> String {
    format!(
        "job {id}: submitted_unix_ms {}, deadline_unix_ms {}\n",
        submission.submitted_unix_ms(),
        submission.deadline_unix_ms()
    )
}
