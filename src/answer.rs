//! Answers of an entry about a job.

use std::time::Duration;

use errors::{Error, ExitCode};
use model::FailureKind;
use serde::Deserialize;
use web::Response;

/// What an entry says about a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum JobAnswer {
    /// Every task ran.
    Complete {},
    /// The job has no result.
    Failed {
        /// What is known about the tasks.
        kind: FailureKind,
        /// Why.
        reason: String,
        /// Explanation.
        detail: String,
        /// When a new submission is worth trying.
        retry_after_ms: Option<u64>,
    },
    /// The request itself is not accepted.
    Refused {
        /// Why.
        reason: String,
        /// Explanation.
        detail: String,
    },
    /// The job has no answer yet.
    Pending {},
    /// The job is being cancelled.
    Cancelling {},
}

#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

impl JobAnswer {
    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Fails if the response holds an error, or is none of an entry.
    pub(crate) fn parse(response: &Response) -> Result<Self, Error> {
        response.parse().map_err(|_| response_error(response))
    }

    /// Returns how long to wait before a new submission, if none of the job's tasks ran and
    /// coming back is worth it.
    pub(crate) fn come_back_after(&self) -> Option<Duration> {
        match self {
            Self::Failed {
                kind: FailureKind::NotRun,
                retry_after_ms,
                ..
            } => retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Tells whether the job was cancelled, or is about to be.
    pub(crate) fn is_cancelled(&self) -> bool {
        match self {
            Self::Cancelling {} => true,
            Self::Failed { reason, .. } => reason == "cancelled",
            _ => false,
        }
    }

    /// Returns the error that a failed job or a refused request is to its caller.
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
                let remedy = remedy(*kind, *retry_after_ms);
                Some(Error::new(ExitCode::Failure, message).with_remedy(remedy))
            }
            Self::Refused { reason, detail } => {
                let error = Error::new(ExitCode::Invalid, format!("{reason}: {detail}"));
                Some(error.with_remedy(refusal_remedy(reason)))
            }
        }
    }
}

/// Returns the error for a response without an answer about a job.
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
    Error::new(ExitCode::Unavailable, message).with_remedy("check that this is an entry")
}

fn remedy(kind: FailureKind, retry_after_ms: Option<u64>) -> String {
    match (kind, retry_after_ms) {
        (FailureKind::NotRun, Some(ms)) => format!("submit it again after {ms} ms"),
        (FailureKind::NotRun, None) => String::from("submit it again"),
        (FailureKind::MayHaveRun, _) => {
            String::from("find out at the target what ran before you submit it under another id")
        }
        (FailureKind::CannotRun, _) => String::from("correct the job, or its group"),
        (FailureKind::RanAndFailed, _) => String::from("look into the target's log"),
    }
}

fn refusal_remedy(reason: &str) -> &'static str {
    match reason {
        "unauthorized" => "check the token",
        "not_found" => "check the id; answers are kept for the retention period only",
        _ => "correct the request",
    }
}
