//! Calls to the HTTP interface of entries and agents.

use std::cell::Cell;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ExitCode, Result};
use web::{CallError, Client, HeaderName, HeaderValue, Method, Request, Response};

/// Longest time for a call that does not wait for a job, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

const TOKEN_VARIABLE: &str = "SHALLOTCROSS_TOKEN";

const TOKEN_REMEDY: &str = "name a file with `--token-file`, or set SHALLOTCROSS_TOKEN";

/// Calls one of several entries at a time.
pub(crate) struct EntryClient {
    clients: Vec<Client>,
    current: Cell<usize>,
    authorization: Option<HeaderValue>,
}

impl EntryClient {
    /// Creates a client; without a token it reaches public routes only.
    ///
    /// # Errors
    ///
    /// Fails if the token cannot be part of a header.
    ///
    /// # Panics
    ///
    /// Panics if `addresses` is empty.
    pub(crate) fn new(addresses: Vec<SocketAddr>, token: Option<&str>) -> Result<Self> {
        assert!(!addresses.is_empty(), "a client needs an address");
        Ok(Self {
            clients: addresses.into_iter().map(|at| Client::new(at, 1)).collect(),
            current: Cell::new(0),
            authorization: token.map(authorization).transpose()?,
        })
    }

    /// Returns the address that the next call goes to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.client().address()
    }

    /// Turns to the next address.
    pub(crate) fn advance(&self) {
        self.current
            .set((self.current.get() + 1) % self.clients.len());
    }

    /// Calls the current address.
    ///
    /// # Errors
    ///
    /// Fails if there is no response within the limit.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> std::result::Result<Response, CallError> {
        let mut request = Request::new(method, path);
        request.body = body.to_vec().into();
        if let Some(value) = &self.authorization {
            let name = HeaderName::from_static("authorization");
            request.headers.insert(name, value.clone());
        }
        self.client().call(&request, limit).await
    }

    /// Makes a call that does not wait for a job.
    ///
    /// # Errors
    ///
    /// Fails if there is no response in time.
    pub(crate) async fn ask(&self, method: Method, path: &str) -> Result<Response> {
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let called = self.call(method, path, b"", limit).await;
        called.map_err(|error| unreachable_error(self.address(), &error))
    }

    fn client(&self) -> &Client {
        &self.clients[self.current.get()]
    }
}

/// Returns the path of a job.
pub(crate) fn job_path(id: &str) -> String {
    let mut path = String::from("/v1/jobs/");
    for byte in id.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-' | b':' => {
                path.push(char::from(byte));
            }
            _ => path.push_str(&format!("%{byte:02X}")),
        }
    }
    path
}

/// Returns the error for a process that gave no answer.
pub(crate) fn unreachable_error(address: SocketAddr, error: &CallError) -> Error {
    Error::new(ExitCode::Unavailable, format!("no answer: {error}"))
        .with_place(address.to_string())
        .with_remedy("check the address and that the process runs")
}

/// Reads a token from a file, or else from the environment.
///
/// # Errors
///
/// Fails if neither holds a token.
pub(crate) fn read_token(file: Option<&str>) -> Result<String> {
    let text = match file {
        Some(file) => fs::read_to_string(file).map_err(|error| {
            Error::new(ExitCode::Invalid, format!("cannot be read: {error}")).with_place(file)
        })?,
        None => env::var(TOKEN_VARIABLE).map_err(|_| {
            Error::new(ExitCode::Usage, "a token is needed").with_remedy(TOKEN_REMEDY)
        })?,
    };
    let token = text.trim();
    if token.is_empty() {
        let error = Error::new(ExitCode::Invalid, "the token is empty");
        return Err(error.with_place(file.unwrap_or(TOKEN_VARIABLE)));
    }
    Ok(token.to_owned())
}

fn authorization(token: &str) -> Result<HeaderValue> {
    let value = HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| {
        Error::new(
            ExitCode::Invalid,
            "the token has a character that is not allowed",
        )
        .with_remedy("use printable ASCII without blanks")
    });
    let mut value = value?;
    value.set_sensitive(true);
    Ok(value)
}
