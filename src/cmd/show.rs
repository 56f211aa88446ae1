//! Shows the configuration in force.

use config::ConfigurationSnapshot;
use errors::{ExitCode, Result};
use getopts::Options;
use platform::PlatformClient;

use crate::cli::{Command, Usage, print};
use crate::process::block_on;
use crate::publication::{CALL_TIMEOUT_MS, read_published};

/// The command.
pub(super) const COMMAND: Command = Command {
    name: "show",
    summary: "show the configuration in force",
    run,
};

fn run(args: &[String]) -> Result<ExitCode> {
    let Some(arguments) = usage().parse(args)? else {
        return Ok(ExitCode::Ok);
    };
    let addresses = arguments.addresses("platform")?;
    let snapshot = block_on(async {
        let platform = PlatformClient::new(addresses, CALL_TIMEOUT_MS);
        let (revision, published) = read_published(&platform).await?;
        Ok(ConfigurationSnapshot {
            revision,
            learned_unix_ms: runtime::unix_ms(),
            published,
        })
    })?;
    print(&operators::render_show(&snapshot, runtime::unix_ms()))
}

fn usage() -> Usage {
    let mut options = Options::new();
    options.reqopt("p", "platform", "addresses of the platform", "ADDR[,ADDR]");
    let summary = "Shows the revision in force, and each value with the file that sets it.";
    Usage::new("shallotcross show", &[], summary, options)
}
