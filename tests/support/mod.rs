//! Starts the programs and the stand-ins as processes of their own.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses its own part"
)]

mod jobs;
mod load;
mod process;
mod relay;
mod system;

use std::net::SocketAddr;
use std::time::Duration;

use runtime::monotonic_us;
use serde_json::Value;
use web::{Client, HeaderValue, Method, Request, Response};

pub use jobs::{job, named_job, submit};
pub use load::{Load, Outcome};
pub use process::Process;
pub use relay::{Cut, Relay};
pub use system::{Entry, Host, System, shards_of};

/// Bound on every wait; reached only if the awaited event never comes.
const WAIT_US: u64 = 30_000_000;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Time that an entry has for its state; waiting goes on without it.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Token of the operators.
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
    let until_us = monotonic_us() + WAIT_US;
    while !condition().await {
        assert!(monotonic_us() < until_us, "never came true: {what}");
        monoio::time::sleep(LOOK).await;
    }
}

/// Sends a request; returns nothing if there is no response.
pub async fn call(address: SocketAddr, request: &Request) -> Option<Response> {
    let client = Client::new(address, 1);
    client
        .call(request, Duration::from_micros(WAIT_US))
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

/// Returns an entry's whole state, or null if it does not answer.
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
