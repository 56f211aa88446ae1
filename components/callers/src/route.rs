//! Routes of the callers' and operators' interface.

use derive_more::{Display, Error};
use http::Method;

use crate::name::{NameError, check_name};

// Segments of the longest path.
const MAX_SEGMENTS: usize = 5;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Route {
    /// `PUT /v1/jobs/{id}`: submits a job and waits for its answer.
    SubmitJob {
        /// Id chosen by the client.
        id: String,
    },
    /// `GET /v1/jobs/{id}`: shows a job.
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
    /// `GET /healthz`: tells whether the process works.
    Health,
    /// `GET /readyz`: tells whether the process takes requests.
    Ready,
    /// `GET /metrics`: shows the metrics.
    Metrics,
    /// `GET /admin/v1/state`: dumps the whole state.
    AdminState,
    /// `GET /admin/v1/firms/{firm}/jobs`: lists the jobs of a firm.
    AdminFirmJobs {
        /// Name of the firm.
        firm: String,
    },
    /// `POST /admin/v1/drain`: starts a graceful shutdown.
    AdminDrain,
    /// `GET /admin/v1/config`: shows the configuration in force.
    AdminConfig,
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Access {
    /// Everybody; the answer tells nothing about a firm.
    Public,
    /// Callers with the token of a firm, who see that firm only.
    Firm,
    /// Operators; the answer may tell about every firm.
    Operator,
}

/// Why a request has no route.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// There is nothing under the path.
    #[display("no such path")]
    NotFound,
    /// The path does not support the method.
    #[display("method is not allowed; allowed: {allowed}")]
    MethodNotAllowed {
        /// The methods that are, as in the `Allow` header.
        #[error(not(source))]
        allowed: &'static str,
    },
    /// A name in the path is not allowed.
    #[display("name in the path {_0}")]
    BadName(#[error(source)] NameError),
}

impl Route {
    /// Returns who may use the route.
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

/// Returns the route of a request; a query after the path is ignored, and `HEAD` is taken as
/// `GET`.
///
/// # Errors
///
/// Fails if there is no such path, the path does not support the method, or a name in the
/// path is malformed.
pub fn parse_route(method: &Method, path: &str) -> Result<Route, RouteError> {
    // The server leaves out the body of the response.
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
        ["v1", "jobs"] => get(method, Route::ListJobs),
        ["v1", "state"] => get(method, Route::ShowState),
        ["healthz"] => get(method, Route::Health),
        ["readyz"] => get(method, Route::Ready),
        ["metrics"] => get(method, Route::Metrics),
        ["admin", "v1", "state"] => get(method, Route::AdminState),
        ["admin", "v1", "config"] => get(method, Route::AdminConfig),
        ["admin", "v1", "drain"] => allow(method, &Method::POST, "POST", Route::AdminDrain),
        ["admin", "v1", "firms", firm, "jobs"] => {
            let firm = decode_name(firm)?;
            get(method, Route::AdminFirmJobs { firm })
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

fn get(method: &Method, route: Route) -> Result<Route, RouteError> {
    allow(method, &Method::GET, "GET", route)
}

fn allow(
    method: &Method,
    wanted: &Method,
    allowed: &'static str,
    route: Route,
) -> Result<Route, RouteError> {
    if method != wanted {
        return Err(RouteError::MethodNotAllowed { allowed });
    }
    Ok(route)
}

fn decode_name(segment: &str) -> Result<String, RouteError> {
    let name = decode_percent(segment).ok_or(RouteError::BadName(NameError::BadCharacter))?;
    check_name(&name).map_err(RouteError::BadName)?;
    Ok(name)
}

/// Replaces percent-encoded ASCII characters; returns nothing if the encoding is malformed.
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
