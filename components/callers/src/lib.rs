//! Peer package for callers: routes, tokens, submissions and answers as HTTP and JSON.
//!
//! Nothing here does I/O or reads a clock.

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
