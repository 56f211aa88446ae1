//! Requests to entries, agents and targets.

use std::net::SocketAddr;
use std::time::Duration;

use model::Attempt;
use runtime::unix_ms;
use serde_json::{Value, json};
use targets::Invocation;
use web::{Client, HeaderName, HeaderValue, Method, Request};

use crate::BenchResult;
use crate::system::{FIRM, FIRM_TOKEN, GROUP, OPERATOR_TOKEN};

/// Time from the submission of a job to its deadline, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Timeout of a call; long enough to expire only on a fault, since it exceeds a job's deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn with_bearer_token(mut request: Request, token: &str) -> Request {
    let value = HeaderValue::try_from(format!("Bearer {token}")).expect("the token is ASCII");
    let name = HeaderName::from_static("authorization");
    request.headers.insert(name, value);
    request
}

/// Returns the payload of a task that runs for `run_ms`.
fn payload(run_ms: u64) -> Value {
    json!({ "run_ms": run_ms })
}

/// Builds the request that submits a job to an entry; its tasks are all alike.
pub fn submission_request(id: &str, task_count: usize, run_ms: u64) -> Request {
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
    with_bearer_token(request, FIRM_TOKEN)
}

/// Builds the request that invokes a target for one task, as an agent does.
pub fn invocation_request(id: &str, run_ms: u64) -> Request {
    let invocation = Invocation {
        firm: FIRM.to_owned(),
        job_id: id.to_owned(),
        index: 0,
        attempt: Attempt(1),
        payload: payload(run_ms).to_string().into(),
        timeout: CALL_TIMEOUT,
    };
    invocation.request()
}

/// Sends a request and returns the status of the response.
pub async fn send(client: &Client, request: &Request) -> BenchResult<u16> {
    Ok(client.call(request, CALL_TIMEOUT).await?.status)
}

/// Sends a GET request with the operators' token; returns the body as JSON.
async fn get_json(address: SocketAddr, path: &str) -> BenchResult<Value> {
    let request = with_bearer_token(Request::new(Method::GET, path), OPERATOR_TOKEN);
    let response = Client::new(address, 1).call(&request, CALL_TIMEOUT).await?;
    Ok(response.parse()?)
}

/// Returns the state of an entry.
pub async fn entry_state(entry: SocketAddr) -> BenchResult<Value> {
    get_json(entry, "/admin/v1/state").await
}

/// Returns the state of an agent.
pub async fn agent_state(agent: SocketAddr) -> BenchResult<Value> {
    get_json(agent, "/v1/state").await
}
