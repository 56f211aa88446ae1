//! Publishes the operators' folder.

use std::env;
use std::path::Path;

use config::Merged;
use errors::{Error, ExitCode, Result};
use getopts::Options;
use operators::Expected;
use platform::Platform;

use crate::cli::{Arguments, Command, Usage, print_error, print_report, usage_error};
use crate::process::block_on;
use crate::publication::{CALL_TIMEOUT_MS, publish};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "publish",
    summary: "put the operators' folder in force",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let addresses = arguments.addresses("platform")?;
    let expected = match arguments.number("base")? {
        Some(revision) => Expected::Revision(revision),
        None => Expected::Latest,
    };
    let editor = editor(&arguments)?;
    let merged = merge(arguments.positional(0))?;
    let outcome = block_on(async {
        let platform = Platform::new(addresses, CALL_TIMEOUT_MS);
        Ok(publish(&platform, merged, &editor, expected).await)
    })?;
    let report = operators::render_outcome(&outcome);
    print_report(&report.text, report.exit_code)
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.reqopt("p", "platform", "addresses of the platform", "ADDR[,ADDR]");
    options.optopt(
        "b",
        "base",
        "publish only if this revision is in force; 0 if none is",
        "REVISION",
    );
    options.optopt("e", "editor", "who publishes; else $USER", "NAME");
    let summary = "Checks the operators' folder and puts it in force by compare-and-swap.\n\
                   Exits with 3 if another edit got in first.";
    Usage::new("shallotcross publish", &["DIR"], summary, options)
}

fn editor(arguments: &Arguments) -> Result<String> {
    let named = arguments.text("editor").or_else(|| env::var("USER").ok());
    let editor = named.filter(|name| !name.trim().is_empty());
    editor.ok_or_else(|| {
        usage_error("nobody is named as the editor").with_remedy("name yourself with `--editor`")
    })
}

fn merge(dir: &str) -> Result<Merged> {
    let merged = config::merge_folder(Path::new(dir));
    let report = operators::render_check(&merged);
    let Ok(merged) = merged else {
        print_error(&report.text);
        return Err(Error::new(report.exit_code, "not published").with_place(dir));
    };
    if !merged.warnings.is_empty() {
        print_error(&report.text);
    }
    Ok(merged)
}
