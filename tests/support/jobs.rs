//! Builds and submits jobs.

use std::net::SocketAddr;

use runtime::unix_ms;
use serde_json::{Value, json};
use web::{Method, Request, Response};

use super::{Firm, call, with_token};

/// Returns the body of a job with one task per run time.
pub fn job(firm: Firm, run_ms: &[u64], deadline_in_ms: u64) -> Value {
    named_job(firm, "", run_ms, deadline_in_ms)
}

/// Returns the body of a job whose payloads contain a name, which the target stand-in echoes in the
/// results.
pub fn named_job(firm: Firm, name: &str, run_ms: &[u64], deadline_in_ms: u64) -> Value {
    let now_unix_ms = unix_ms();
    let tasks: Vec<Value> = run_ms
        .iter()
        .enumerate()
        .map(|(index, run_ms)| {
            json!({
                "kind": "check",
                "declared_ms": run_ms,
                "payload": { "run_ms": run_ms, "index": index, "job": name },
            })
        })
        .collect();
    json!({
        "group": firm.group,
        "submitted_unix_ms": now_unix_ms,
        "deadline_unix_ms": now_unix_ms + deadline_in_ms,
        "tasks": tasks,
    })
}

/// Submits a job and returns status, body and response; `None` if the connection broke.
pub async fn submit(
    entry: SocketAddr,
    firm: Firm,
    id: &str,
    job: &Value,
) -> Option<(u16, Value, Response)> {
    let mut request = Request::post_json(format!("/v1/jobs/{id}"), job);
    request.method = Method::PUT;
    let response = call(entry, &with_token(request, firm.token)).await?;
    let body = response.parse().unwrap_or(Value::Null);
    Some((response.status, body, response))
}
