//! Request that starts a task at a target, and its headers.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::HeaderName;
use http::{HeaderValue, Method};
use model::Attempt;
use web::{Request, Response};

use crate::header_text;

/// Path of the target's endpoint for tasks.
pub const TASKS_PATH: &str = "/v1/tasks";

/// Header of a 429 or 503 response that states that the task was not started.
pub const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("shallotcross-not-started");

const FIRM_HEADER: HeaderName = HeaderName::from_static("shallotcross-firm");
const JOB_HEADER: HeaderName = HeaderName::from_static("shallotcross-job");
const INDEX_HEADER: HeaderName = HeaderName::from_static("shallotcross-task-index");
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("shallotcross-attempt");

/// Identifies one attempt to run a task; firm, job and index identify the task, by which a target
/// can detect duplicate starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Name of the firm.
    pub firm: String,
    /// ID of the job, chosen by the caller.
    pub job_id: String,
    /// Index of the task in the job, from zero.
    pub index: u16,
    /// Number of the attempt to place the task on a target.
    pub attempt: u32,
}

/// Task to be started at a target.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Name of the firm.
    pub firm: String,
    /// ID of the job, chosen by the caller.
    pub job_id: String,
    /// Index of the task in the job, from zero.
    pub index: u16,
    /// Number of the attempt to place the task on a target.
    pub attempt: Attempt,
    /// Request body.
    pub payload: Bytes,
    /// Maximum time to wait for the outcome.
    pub timeout: Duration,
}

impl Invocation {
    /// Builds the request for the target.
    #[must_use]
    pub fn request(&self) -> Request {
        let mut request = Request::new(Method::POST, TASKS_PATH);
        let headers = &mut request.headers;
        headers.insert(FIRM_HEADER, header_text::encode(&self.firm));
        headers.insert(JOB_HEADER, header_text::encode(&self.job_id));
        headers.insert(INDEX_HEADER, HeaderValue::from(self.index));
        headers.insert(ATTEMPT_HEADER, HeaderValue::from(self.attempt.0));
        request.body = self.payload.clone();
        request
    }
}

/// Error for a missing or malformed header of an invocation.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("header {header} is missing or malformed")]
pub struct InvocationError {
    /// Name of the header.
    pub header: HeaderName,
}

/// Parses the task ID from the headers of a request received by a target.
///
/// # Errors
///
/// Fails if a header is missing or malformed.
pub fn parse_task_id(request: &Request) -> Result<TaskId, InvocationError> {
    Ok(TaskId {
        firm: parse_header(request, FIRM_HEADER, header_text::decode)?,
        job_id: parse_header(request, JOB_HEADER, header_text::decode)?,
        index: parse_header(request, INDEX_HEADER, |text| text.parse().ok())?,
        attempt: parse_header(request, ATTEMPT_HEADER, |text| text.parse().ok())?,
    })
}

fn parse_header<T>(
    request: &Request,
    header: HeaderName,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<T, InvocationError> {
    let text = request.header(header.as_str());
    text.and_then(parse).ok_or(InvocationError { header })
}

/// Builds the response with which a target rejects a task that it has not started.
#[must_use]
pub fn not_started_response(text: &str) -> Response {
    let value = HeaderValue::from_static("true");
    Response::error(503, text).with_header(NOT_STARTED_HEADER, value)
}
