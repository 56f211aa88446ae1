//! What the commands for one process have in common.

use std::net::SocketAddr;

use errors::{Error, ExitCode, Result};
use getopts::Options;
use web::{Method, Response};

use crate::entry_client::EntryClient;
use crate::process::block_on;

/// Adds the option that names the operators' token.
pub(super) fn token_option(options: &mut Options) {
    options.optopt(
        "t",
        "token-file",
        "file with an operators' token; else $SHALLOTCROSS_TOKEN",
        "FILE",
    );
}

/// Calls a process and returns the body of its response.
pub(super) fn ask_admin(
    address: SocketAddr,
    token: Option<&str>,
    method: Method,
    path: &str,
) -> Result<String> {
    let response = block_on(async {
        let client = EntryClient::new(vec![address], token)?;
        client.ask(method, path).await
    })?;
    match response.status {
        200..=299 => Ok(format!("{}\n", body_text(&response).trim_end())),
        status => Err(status_error(status, &response).with_place(address.to_string())),
    }
}

fn status_error(status: u16, response: &Response) -> Error {
    let message = format!("status {status}: {}", body_text(response).trim());
    match status {
        401 | 403 => {
            Error::new(ExitCode::Invalid, message).with_remedy("use a token of `operators.tokens`")
        }
        404 => Error::new(ExitCode::Invalid, message)
            .with_remedy("name the listen_address of an entry, or an agent with `--agent`"),
        _ => Error::new(ExitCode::Failure, message).with_remedy("look into the process's log"),
    }
}

fn body_text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}
