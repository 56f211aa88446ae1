//! Routes of the HTTP interface for callers and operators.

use derive_more::{Display, Error};
use http::Method;

use crate::name::{NameError, check_name};

// Number of segments in the longest path.
const MAX_SEGMENTS: usize = 5;

/// Operation that a request selects by its method and path.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Route {
    /// `PUT /v1/jobs/{id}`: submits a job and waits for its answer.
    SubmitJob {
        /// Id chosen by the client.
        id: String,
    },
    /// `GET /v1/jobs/{id}`: returns the state of a job.
    ShowJob {
        /// Id chosen by the client.
        id: String,
    },
    /// `DELETE /v1/jobs/{id}`: cancels a job.
    CancelJob {
        /// Id chosen by the client.
        id: String,
    },
    /// `GET /v1/jobs`: lists the jobs of the caller's firm.
    ListJobs,
    /// `GET /v1/state`: dumps the state of the caller's firm.
    ShowState,
    /// `GET /healthz`: liveness check of the process.
    Health,
    /// `GET /readyz`: readiness check; succeeds if the process accepts requests.
    Ready,
    /// `GET /metrics`: returns the metrics.
    Metrics,
    /// `GET /admin/v1/state`: dumps the complete state.
    AdminState,
    /// `GET /admin/v1/firms/{firm}/jobs`: lists the jobs of a firm.
    AdminFirmJobs {
        /// Name of the firm.
        firm: String,
    },
    /// `POST /admin/v1/drain`: starts a graceful shutdown.
    AdminDrain,
    /// `GET /admin/v1/config`: returns the active configuration.
    AdminConfig,
}

/// Authorization that a route requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Access {
    /// None; the response contains no data of a firm.
    Public,
    /// Token of a firm; the response contains only data of that firm.
    Firm,
    /// Token of an operator; the response may contain data of every firm.
    Operator,
}

/// Reason why a request matches no route.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// The path does not exist.
    #[display("no such path")]
    NotFound,
    /// The path does not support the method.
    #[display("method is not allowed; allowed: {allowed}")]
    MethodNotAllowed {
        /// Supported methods, in the format of the `Allow` header.
        #[error(not(source))]
        allowed: &'static str,
    },
    /// A name in the path is invalid.
    #[display("name in the path {_0}")]
    BadName(#[error(source)] NameError),
}

impl Route {
    /// Returns the authorization that the route requires.
    #[must_use]
    pub fn access(&self) -> Access {
        match self {
            Self::Health | Self::Ready => Access::Public,
            Self::SubmitJob { .. }
            | Self::ShowJob { .. }
            | Self::CancelJob { .. }
            | Self::ListJobs
            | Self::ShowState => Access::Firm,
            Self::Metrics
            | Self::AdminState
            | Self::AdminFirmJobs { .. }
            | Self::AdminDrain
            | Self::AdminConfig => Access::Operator,
        }
    }
}

/// Returns the route of a request; ignores the query string and treats `HEAD` as `GET`.
///
/// # Errors
///
/// Fails if the path does not exist, the path does not support the method, or a name in the
/// path is invalid.
pub fn parse_route(method: &Method, path: &str) -> Result<Route, RouteError> {
    // The server omits the response body for `HEAD`.
    let method = if method == Method::HEAD {
        &Method::GET
    } else {
        method
    };
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let mut segments = path.split('/');
    if segments.next() != Some("") {
        return Err(RouteError::NotFound);
    }
    let segments: Vec<&str> = segments.take(MAX_SEGMENTS + 1).collect();
    match segments.as_slice() {
        ["v1", "jobs", id] => job_route(method, id),
        ["v1", "jobs"] => require_get(method, Route::ListJobs),
        ["v1", "state"] => require_get(method, Route::ShowState),
        ["healthz"] => require_get(method, Route::Health),
        ["readyz"] => require_get(method, Route::Ready),
        ["metrics"] => require_get(method, Route::Metrics),
        ["admin", "v1", "state"] => require_get(method, Route::AdminState),
        ["admin", "v1", "config"] => require_get(method, Route::AdminConfig),
        ["admin", "v1", "drain"] => {
            require_method(method, &Method::POST, "POST", Route::AdminDrain)
        }
        ["admin", "v1", "firms", firm, "jobs"] => {
            let firm = decode_name(firm)?;
            require_get(method, Route::AdminFirmJobs { firm })
        }
        _ => Err(RouteError::NotFound),
    }
}

fn job_route(method: &Method, id: &str) -> Result<Route, RouteError> {
    let id = decode_name(id)?;
    match *method {
        Method::PUT => Ok(Route::SubmitJob { id }),
        Method::GET => Ok(Route::ShowJob { id }),
        Method::DELETE => Ok(Route::CancelJob { id }),
        _ => Err(RouteError::MethodNotAllowed {
            allowed: "PUT, GET, DELETE",
        }),
    }
}

fn require_get(method: &Method, route: Route) -> Result<Route, RouteError> {
    require_method(method, &Method::GET, "GET", route)
}

fn require_method(
    method: &Method,
    required: &Method,
    allowed: &'static str,
    route: Route,
) -> Result<Route, RouteError> {
    if method != required {
        return Err(RouteError::MethodNotAllowed { allowed });
    }
    Ok(route)
}

fn decode_name(segment: &str) -> Result<String, RouteError> {
    let name = decode_percent(segment).ok_or(RouteError::BadName(NameError::BadCharacter))?;
    check_name(&name).map_err(RouteError::BadName)?;
    Ok(name)
}

/// Decodes percent-encoded ASCII characters; returns `None` if the encoding is malformed.
fn decode_percent(segment: &str) -> Option<String> {
    let mut parts = segment.split('%');
    let mut decoded = parts.next()?.to_owned();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        let byte = u8::from_str_radix(digits, 16).ok()?;
        decoded.push(char::from(byte));
        decoded.push_str(rest);
    }
    Some(decoded)
}
