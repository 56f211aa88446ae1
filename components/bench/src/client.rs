//! Requests to entries, targets and agents.

use std::net::SocketAddr;
use std::time::Duration;

use model::Attempt;
use runtime::unix_ms;
use serde_json::{Value, json};
use targets::Invocation;
use web::{Client, HeaderName, HeaderValue, Method, Request};

use crate::Outcome;
use crate::system::{FIRM, GROUP, OPERATORS_TOKEN, TOKEN};

/// Time until the deadline of a job, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Bound on a call; reached only if something is broken.
const CALL_LIMIT: Duration = Duration::from_secs(20);

fn with_token(mut request: Request, token: &str) -> Request {
    let value = HeaderValue::try_from(format!("Bearer {token}")).expect("the token is ASCII");
    let name = HeaderName::from_static("authorization");
    request.headers.insert(name, value);
    request
}

/// Returns the payload of a task.
fn payload(run_ms: u64) -> Value {
    json!({ "run_ms": run_ms })
}

/// Builds a submission.
pub fn submission(id: &str, task_count: usize, run_ms: u64) -> Request {
    let task = json!({ "kind": "check", "declared_ms": run_ms, "payload": payload(run_ms) });
    let now_unix_ms = unix_ms();
    let job = json!({
        "group": GROUP,
        "submitted_unix_ms": now_unix_ms,
        "deadline_unix_ms": now_unix_ms + DEADLINE_MS,
        "tasks": vec![task; task_count],
    });
    let mut request = Request::post_json(format!("/v1/jobs/{id}"), &job);
    request.method = Method::PUT;
    with_token(request, TOKEN)
}

/// Builds the request that a target gets for one task.
pub fn invocation(id: &str, run_ms: u64) -> Request {
    let invocation = Invocation {
        firm: FIRM.to_owned(),
        job_id: id.to_owned(),
        index: 0,
        attempt: Attempt(1),
        payload: payload(run_ms).to_string().into(),
        timeout: CALL_LIMIT,
    };
    invocation.request()
}

/// Sends a request and returns the status of the response.
pub async fn send(client: &Client, request: &Request) -> Outcome<u16> {
    Ok(client.call(request, CALL_LIMIT).await?.status)
}

async fn get(address: SocketAddr, path: &str) -> Outcome<Value> {
    let request = with_token(Request::new(Method::GET, path), OPERATORS_TOKEN);
    let response = Client::new(address, 1).call(&request, CALL_LIMIT).await?;
    Ok(response.parse()?)
}

/// Returns the state of an entry.
pub async fn get_state(entry: SocketAddr) -> Outcome<Value> {
    get(entry, "/admin/v1/state").await
}

/// Returns the state of an agent.
pub async fn get_agent_state(agent: SocketAddr) -> Outcome<Value> {
    get(agent, "/v1/state").await
}
