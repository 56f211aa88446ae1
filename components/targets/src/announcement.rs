//! Messages by which a target registers and deregisters at its agent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use http::Method;
use model::{FirmKey, GroupKey, TargetInfo};
use serde::{Deserialize, Serialize};
use web::{Request, Response};

/// Path of the agent's endpoint for announcements.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

const MAX_NAME_BYTES: usize = 128;
const MAX_FIRMS: usize = 64;
const MAX_SLOTS: u16 = 1_024;
const MIN_TTL_MS: u64 = 100;
const MAX_TTL_MS: u64 = 60_000;

/// Registration of a target at its agent; the target repeats it as a heartbeat within `ttl_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the target, unique at its agent.
    pub name: String,
    /// Address at which the target accepts tasks.
    pub address: SocketAddr,
    /// Group that the target belongs to.
    pub group: String,
    /// Firms that the target serves.
    pub firms: Vec<String>,
    /// Maximum number of tasks that the target runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that the target accepts.
    pub connections: u16,
    /// Time for which the announcement is valid, in milliseconds from its arrival.
    pub ttl_ms: u64,
}

/// Deregistration of a target, sent to its agent at shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Departure {
    /// Name of the target.
    pub name: String,
}

/// Reason why an announcement or a departure was rejected.
#[derive(Debug, Display, Error, From)]
pub enum AnnounceError {
    /// The path is not [`ANNOUNCE_PATH`].
    #[display("no such path")]
    WrongPath,
    /// The method does not match the expected message.
    #[display("method not allowed")]
    WrongMethod,
    /// The body is not valid JSON or does not match the schema.
    #[display("bad announcement: {_0}")]
    Malformed(serde_json::Error),
    /// A field has a value outside its allowed range.
    #[display("bad announcement: {field} must be {expected}")]
    #[from(ignore)]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Description of the allowed values.
        expected: &'static str,
    },
}

impl AnnounceError {
    /// Returns the error response to the target.
    #[must_use]
    pub fn response(&self) -> Response {
        let status = match self {
            Self::WrongPath => 404,
            Self::WrongMethod => 405,
            Self::Malformed(_) | Self::OutOfRange { .. } => 400,
        };
        Response::error(status, &self.to_string())
    }
}

impl Announcement {
    /// Returns the target's capacity, with its group and firms as keys instead of names.
    #[must_use]
    pub fn target_info(&self) -> TargetInfo {
        let firms = self.firms.iter();
        TargetInfo {
            group: GroupKey::from_name(&self.group),
            firms: firms.map(|name| FirmKey::from_name(name)).collect(),
            slots: self.slots,
            connections: self.connections,
        }
    }

    fn validate(&self) -> Result<(), AnnounceError> {
        check_name("name", &self.name)?;
        check_name("group", &self.group)?;
        self.validate_firms()?;
        check_field(
            "address",
            self.address.port() != 0,
            "an address with a port",
        )?;
        let is_valid = (1..=MAX_SLOTS).contains(&self.slots);
        check_field("slots", is_valid, "between 1 and 1024")?;
        check_field("connections", self.connections > 0, "at least 1")?;
        let is_valid = (MIN_TTL_MS..=MAX_TTL_MS).contains(&self.ttl_ms);
        check_field("ttl_ms", is_valid, "between 100 and 60000")
    }

    fn validate_firms(&self) -> Result<(), AnnounceError> {
        let distinct: BTreeSet<_> = self.firms.iter().collect();
        let is_valid =
            (1..=MAX_FIRMS).contains(&self.firms.len()) && distinct.len() == self.firms.len();
        check_field("firms", is_valid, "1 to 64 different names")?;
        self.firms
            .iter()
            .try_for_each(|firm| check_name("firms", firm))
    }
}

/// Parses and validates an announcement, a `POST /v1/announce` request.
///
/// # Errors
///
/// Fails if the path, the method or the body is invalid, or a field is outside its range.
pub fn parse_announcement(request: &Request) -> Result<Announcement, AnnounceError> {
    check_route(request, &Method::POST)?;
    let announcement: Announcement = request.parse()?;
    announcement.validate()?;
    Ok(announcement)
}

/// Parses and validates a departure, a `DELETE /v1/announce` request.
///
/// # Errors
///
/// Fails as [`parse_announcement`] does.
pub fn parse_departure(request: &Request) -> Result<Departure, AnnounceError> {
    check_route(request, &Method::DELETE)?;
    let departure: Departure = request.parse()?;
    check_name("name", &departure.name)?;
    Ok(departure)
}

fn check_route(request: &Request, method: &Method) -> Result<(), AnnounceError> {
    if request.path != ANNOUNCE_PATH {
        return Err(AnnounceError::WrongPath);
    }
    if request.method != *method {
        return Err(AnnounceError::WrongMethod);
    }
    Ok(())
}

fn check_name(field: &'static str, name: &str) -> Result<(), AnnounceError> {
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    check_field(field, is_valid, "between 1 and 128 bytes long")
}

fn check_field(
    field: &'static str,
    is_valid: bool,
    expected: &'static str,
) -> Result<(), AnnounceError> {
    if is_valid {
        Ok(())
    } else {
        Err(AnnounceError::OutOfRange { field, expected })
    }
}
