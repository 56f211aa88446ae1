//! Starts the binaries and the stand-ins as separate processes.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some items"
)]

mod build;
mod jobs;
mod load;
mod process;
mod relay;
mod spawn;
mod system;

use std::net::SocketAddr;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;
use web::{Client, HeaderValue, Method, Request, Response};

pub use build::Build;
pub use jobs::{job, named_job, submit};
pub use load::{Load, Outcome};
pub use process::Process;
pub use relay::{Cut, Relay};
pub use system::{Entry, Host, System, shards_of};

/// Timeout of every wait; reached only if the awaited event never occurs.
const WAIT_TIMEOUT_US: u64 = 30_000_000;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of a request for an entry's state, shorter than [`WAIT_TIMEOUT_US`] so that a wait
/// continues while one entry does not respond.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bearer token of the operators.
pub const OPERATORS_TOKEN: &str = "operators-token-0001";

/// A firm with its group and its token.
#[derive(Debug, Clone, Copy)]
pub struct Firm {
    pub name: &'static str,
    pub group: &'static str,
    pub token: &'static str,
}

pub const VEMBANAD: Firm = Firm {
    name: "vembanad",
    group: "escort",
    token: "vembanad-token-0001",
};

pub const CONSORCIO: Firm = Firm {
    name: "consorcio",
    group: "agenda",
    token: "consorcio-token-0001",
};

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let until_us = monotonic_us() + WAIT_TIMEOUT_US;
    while !condition().await {
        assert!(monotonic_us() < until_us, "timed out: {what}");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request; returns `None` if there is no response.
pub async fn call(address: SocketAddr, request: &Request) -> Option<Response> {
    let client = Client::new(address, 1);
    client
        .call(request, Duration::from_micros(WAIT_TIMEOUT_US))
        .await
        .ok()
}

/// Adds a bearer token to a request.
pub fn with_token(mut request: Request, token: &str) -> Request {
    let value = HeaderValue::try_from(format!("Bearer {token}")).expect("the token is ASCII");
    request
        .headers
        .insert(web::HeaderName::from_static("authorization"), value);
    request
}

/// Returns the state of an entry, or null if it does not respond.
pub async fn get_state(entry: SocketAddr) -> Value {
    let request = with_token(
        Request::new(Method::GET, "/admin/v1/state"),
        OPERATORS_TOKEN,
    );
    let client = Client::new(entry, 1);
    let response = client.call(&request, STATE_TIMEOUT).await.ok();
    response
        .filter(|response| response.status == 200)
        .and_then(|response| response.parse().ok())
        .unwrap_or(Value::Null)
}
