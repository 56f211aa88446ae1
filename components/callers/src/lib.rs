//! HTTP and JSON interface for callers: routes, bearer tokens, job submissions and responses.
//!
//! This package performs no I/O and reads no clock.

mod digest;
mod name;
mod response;
mod route;
mod submission;
mod token;

pub use name::{MAX_NAME_BYTES, NameError, check_name};
pub use response::{
    answer_response, cancelling_response, json_response, no_owner_response, not_found_response,
    pending_response, route_error_response, submission_error_response, unauthorized_response,
};
pub use route::{Access, Route, RouteError, parse_route};
pub use submission::{SubmissionError, SubmissionLimits, parse_submission};
pub use token::{MAX_TOKEN_BYTES, bearer_token};
