//! HTTP responses with JSON bodies.
//!
//! A response exposes only data of the caller's own job.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::{ALLOW, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use model::{Answer, Failure, FailureKind, FailureReason};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::route::RouteError;
use crate::submission::SubmissionError;

#[derive(Serialize)]
struct CompleteBody<'a> {
    state: &'static str,
    results: Vec<TaskResult<'a>>,
    // Indexes of the results that are not valid JSON and are encoded as base64 strings.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    base64: Vec<usize>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum TaskResult<'a> {
    Json(&'a RawValue),
    Base64(String),
}

#[derive(Serialize)]
struct FailedBody<'a> {
    state: &'static str,
    kind: FailureKind,
    reason: FailureReason,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

// Has no failure kind, which would state whether tasks ran: an earlier copy of the request may
// have been accepted as a job.
#[derive(Serialize)]
struct RefusedBody<'a> {
    state: &'static str,
    reason: &'static str,
    detail: &'a str,
}

#[derive(Serialize)]
struct PendingBody {
    state: &'static str,
    task_count: u16,
    finished_count: u16,
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

/// Returns the response for the final answer to a job.
///
/// Results that are valid JSON are embedded unchanged. Others are embedded as base64 strings,
/// and the field `base64` lists their indexes.
#[must_use]
pub fn answer_response(answer: &Answer) -> Response<Bytes> {
    match answer {
        Answer::Complete(results) => complete_response(results),
        Answer::Failed(failure) => failed_response(failure),
    }
}

/// Returns the response for a job that has no answer yet.
#[must_use]
pub fn pending_response(task_count: u16, finished_count: u16) -> Response<Bytes> {
    let body = PendingBody {
        state: "pending",
        task_count,
        finished_count,
    };
    json_response(StatusCode::ACCEPTED, &body)
}

/// Returns the response for a cancellation that is in progress.
#[must_use]
pub fn cancelling_response() -> Response<Bytes> {
    let body = StateBody {
        state: "cancelling",
    };
    json_response(StatusCode::ACCEPTED, &body)
}

/// Returns the response for a job ID that does not exist in the caller's firm.
#[must_use]
pub fn not_found_response() -> Response<Bytes> {
    refused_response(StatusCode::NOT_FOUND, "not_found", "no such job")
}

/// Returns the response for a request about a job whose owner cannot be reached.
#[must_use]
pub fn no_owner_response() -> Response<Bytes> {
    let detail = "the job's owner cannot be reached; ask again";
    let mut response = refused_response(StatusCode::SERVICE_UNAVAILABLE, "no_owner", detail);
    set_header(&mut response, RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Returns the response for a request without a valid token.
#[must_use]
pub fn unauthorized_response() -> Response<Bytes> {
    let detail = "a valid bearer token is needed";
    let mut response = refused_response(StatusCode::UNAUTHORIZED, "unauthorized", detail);
    set_header(
        &mut response,
        WWW_AUTHENTICATE,
        HeaderValue::from_static("Bearer"),
    );
    response
}

/// Returns the response for a submission that was rejected before a job was created.
#[must_use]
pub fn submission_error_response(error: &SubmissionError) -> Response<Bytes> {
    let (status, reason) = match error {
        SubmissionError::BodyTooLarge { .. }
        | SubmissionError::PayloadTooLarge { .. }
        | SubmissionError::TooManyTasks { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
        SubmissionError::Malformed { .. }
        | SubmissionError::BadName { .. }
        | SubmissionError::NoTask
        | SubmissionError::DeadlineBeforeSubmission
        | SubmissionError::DeadlineTooFar { .. } => (StatusCode::BAD_REQUEST, "malformed"),
    };
    refused_response(status, reason, &error.to_string())
}

/// Returns the response for a request that matches no route.
#[must_use]
pub fn route_error_response(error: RouteError) -> Response<Bytes> {
    let detail = error.to_string();
    match error {
        RouteError::NotFound => refused_response(StatusCode::NOT_FOUND, "not_found", &detail),
        RouteError::BadName(_) => refused_response(StatusCode::BAD_REQUEST, "malformed", &detail),
        RouteError::MethodNotAllowed { allowed } => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut response = refused_response(status, "method_not_allowed", &detail);
            set_header(&mut response, ALLOW, HeaderValue::from_static(allowed));
            response
        }
    }
}

/// Returns a response with a JSON body.
///
/// # Panics
///
/// Panics if the body cannot be serialized as JSON, such as a map whose keys are not strings.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Bytes> {
    let body = serde_json::to_vec(body).expect("the body is serializable as JSON");
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    set_header(&mut response, CONTENT_TYPE, json);
    response
}

fn complete_response(results: &[Bytes]) -> Response<Bytes> {
    let results: Vec<TaskResult<'_>> = results.iter().map(|result| embed_result(result)).collect();
    let base64_results = results.iter().enumerate();
    let base64_results =
        base64_results.filter(|(_, result)| matches!(result, TaskResult::Base64(_)));
    let body = CompleteBody {
        state: "complete",
        base64: base64_results.map(|(index, _)| index).collect(),
        results,
    };
    json_response(StatusCode::OK, &body)
}

fn embed_result(result: &[u8]) -> TaskResult<'_> {
    match serde_json::from_slice::<&RawValue>(result) {
        Ok(json) => TaskResult::Json(json),
        Err(_) => TaskResult::Base64(STANDARD.encode(result)),
    }
}

fn failed_response(failure: &Failure) -> Response<Bytes> {
    let body = FailedBody {
        state: "failed",
        kind: failure.kind,
        reason: failure.reason,
        detail: &failure.detail,
        retry_after_ms: failure.retry_after_ms,
    };
    let mut response = json_response(failure_status(failure), &body);
    if let Some(retry_after_ms) = failure.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(1_000);
        set_header(&mut response, RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    response
}

fn failure_status(failure: &Failure) -> StatusCode {
    match failure.reason {
        FailureReason::Conflict | FailureReason::Cancelled => return StatusCode::CONFLICT,
        FailureReason::ResultDropped | FailureReason::TooOld => return StatusCode::GONE,
        FailureReason::OverQuota => return StatusCode::TOO_MANY_REQUESTS,
        FailureReason::DeadlinePassed => return StatusCode::GATEWAY_TIMEOUT,
        FailureReason::ClockAhead => return StatusCode::BAD_REQUEST,
        _ => {}
    }
    match failure.kind {
        FailureKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        FailureKind::MayHaveRun => StatusCode::BAD_GATEWAY,
        FailureKind::CannotRun => StatusCode::UNPROCESSABLE_ENTITY,
        FailureKind::RanAndFailed => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn refused_response(status: StatusCode, reason: &'static str, detail: &str) -> Response<Bytes> {
    let body = RefusedBody {
        state: "refused",
        reason,
        detail,
    };
    json_response(status, &body)
}

fn set_header(response: &mut Response<Bytes>, name: HeaderName, value: HeaderValue) {
    response.headers_mut().insert(name, value);
}
