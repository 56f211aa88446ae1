//! Shared by the commands that call the operators' HTTP interface of one process.

use std::net::SocketAddr;

use errors::{Error, ExitCode, Result};
use getopts::Options;
use web::{Method, Response};

use crate::entry_client::EntryClient;
use crate::process::block_on;

/// Adds the option for the file with an operators' token.
pub(super) fn token_option(options: &mut Options) {
    options.optopt(
        "t",
        "token-file",
        "file with an operators' token; else $SHALLOTCROSS_TOKEN",
        "FILE",
    );
}

/// Sends a request to a process and returns the body of a successful response.
pub(super) fn call_process(
    address: SocketAddr,
    token: Option<&str>,
    method: Method,
    path: &str,
) -> Result<String> {
    let response = block_on(async {
        let client = EntryClient::new(vec![address], token)?;
        client.request(method, path).await
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
            .with_remedy("pass the listen_address of an entry, or use `--agent` for an agent"),
        _ => Error::new(ExitCode::Failure, message).with_remedy("check the log of the process"),
    }
}

fn body_text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}
