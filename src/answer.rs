//! Parses an entry's HTTP response about a job and maps it to an error for the caller.

use std::time::Duration;

use errors::{Error, ExitCode};
use model::FailureKind;
use serde::Deserialize;
use web::Response;

/// State of a job, as an entry reports it.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum JobAnswer {
    /// Every task ran and has a result.
    Complete {},
    /// The job has no result.
    Failed {
        /// Whether tasks ran, may have run or cannot run.
        kind: FailureKind,
        /// Machine-readable reason.
        reason: String,
        /// Human-readable explanation.
        detail: String,
        /// Delay before a new submission may succeed.
        retry_after_ms: Option<u64>,
    },
    /// The request was rejected before it became a job.
    Refused {
        /// Machine-readable reason.
        reason: String,
        /// Human-readable explanation.
        detail: String,
    },
    /// The job is queued or running.
    Pending {},
    /// The job is being cancelled.
    Cancelling {},
}

#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

impl JobAnswer {
    /// Parses the body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the body is an error message or does not come from an entry.
    pub(crate) fn parse(response: &Response) -> Result<Self, Error> {
        response.parse().map_err(|_| response_error(response))
    }

    /// Returns the delay before a new submission if no task of the job ran and the entry suggests
    /// a retry.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Failed {
                kind: FailureKind::NotRun,
                retry_after_ms,
                ..
            } => retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Returns whether the job was cancelled or its cancellation is in progress.
    pub(crate) fn is_cancelled(&self) -> bool {
        match self {
            Self::Cancelling {} => true,
            Self::Failed { reason, .. } => reason == "cancelled",
            _ => false,
        }
    }

    /// Returns the error to report for a failed job or a rejected request.
    pub(crate) fn error(&self) -> Option<Error> {
        match self {
            Self::Complete {} | Self::Pending {} | Self::Cancelling {} => None,
            Self::Failed {
                kind,
                reason,
                detail,
                retry_after_ms,
            } => {
                let message = format!("{kind} ({reason}): {detail}");
                let remedy = failure_remedy(*kind, *retry_after_ms);
                Some(Error::new(ExitCode::Failure, message).with_remedy(remedy))
            }
            Self::Refused { reason, detail } => {
                let error = Error::new(ExitCode::Invalid, format!("{reason}: {detail}"));
                Some(error.with_remedy(refusal_remedy(reason)))
            }
        }
    }
}

/// Returns the error for a response that does not describe a job.
fn response_error(response: &Response) -> Error {
    let status = response.status;
    if let Ok(ErrorBody { error }) = response.parse() {
        let message = format!("status {status}: {error}");
        return match status {
            503 => Error::new(ExitCode::Unavailable, message).with_remedy("try again"),
            _ => Error::new(ExitCode::Invalid, message).with_remedy("correct the request"),
        };
    }
    let text = String::from_utf8_lossy(&response.body);
    let message = format!("status {status}: {}", text.trim());
    Error::new(ExitCode::Unavailable, message)
        .with_remedy("check that the address is that of an entry")
}

fn failure_remedy(kind: FailureKind, retry_after_ms: Option<u64>) -> String {
    match (kind, retry_after_ms) {
        (FailureKind::NotRun, Some(ms)) => format!("submit it again after {ms} ms"),
        (FailureKind::NotRun, None) => String::from("submit it again"),
        (FailureKind::MayHaveRun, _) => String::from(
            "check at the target which tasks ran before submitting the job under another id",
        ),
        (FailureKind::CannotRun, _) => String::from("correct the job, or its group"),
        (FailureKind::RanAndFailed, _) => String::from("check the target's log"),
    }
}

fn refusal_remedy(reason: &str) -> &'static str {
    match reason {
        "unauthorized" => "check the token",
        "not_found" => "check the id; answers are kept for the retention period only",
        _ => "correct the request",
    }
}
