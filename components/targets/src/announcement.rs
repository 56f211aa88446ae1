//! Announcements of targets to their agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use http::Method;
use model::{FirmKey, GroupKey, TargetInfo};
use serde::{Deserialize, Serialize};
use web::{Request, Response};

/// Path of announcements at the agent.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

const MAX_NAME_BYTES: usize = 128;
const MAX_FIRMS: usize = 64;
const MAX_SLOTS: u16 = 1_024;
const MIN_TTL_MS: u64 = 100;
const MAX_TTL_MS: u64 = 60_000;

/// What a target tells its agent; repeated before `ttl_ms` has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the target, unique at its agent.
    pub name: String,
    /// Address for tasks.
    pub address: SocketAddr,
    /// Group that the target belongs to.
    pub group: String,
    /// Firms that the target serves.
    pub firms: Vec<String>,
    /// Tasks that the target runs at the same time.
    pub slots: u16,
    /// Connections that the target accepts.
    pub connections: u16,
    /// How long the announcement counts, in milliseconds from its arrival.
    pub ttl_ms: u64,
}

/// What a target tells its agent when it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Departure {
    /// Name of the target.
    pub name: String,
}

/// Why an announcement was refused.
#[derive(Debug, Display, Error, From)]
pub enum AnnounceError {
    /// The path is another.
    #[display("no such path")]
    WrongPath,
    /// The method is another.
    #[display("method not allowed")]
    WrongMethod,
    /// The body is not of the wanted form.
    #[display("bad announcement: {_0}")]
    Malformed(serde_json::Error),
    /// A field has a value out of its range.
    #[display("bad announcement: {field} must be {expected}")]
    #[from(ignore)]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// What the field must be.
        expected: &'static str,
    },
}

impl AnnounceError {
    /// Returns the response that tells the target.
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
    /// Returns the keys and sizes that the system works with.
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
        check(
            "address",
            self.address.port() != 0,
            "an address with a port",
        )?;
        let slots = (1..=MAX_SLOTS).contains(&self.slots);
        check("slots", slots, "between 1 and 1024")?;
        check("connections", self.connections > 0, "at least 1")?;
        let ttl = (MIN_TTL_MS..=MAX_TTL_MS).contains(&self.ttl_ms);
        check("ttl_ms", ttl, "between 100 and 60000")
    }

    fn validate_firms(&self) -> Result<(), AnnounceError> {
        let distinct: BTreeSet<_> = self.firms.iter().collect();
        let valid =
            (1..=MAX_FIRMS).contains(&self.firms.len()) && distinct.len() == self.firms.len();
        check("firms", valid, "1 to 64 different names")?;
        self.firms
            .iter()
            .try_for_each(|firm| check_name("firms", firm))
    }
}

/// Parses and validates a `POST /v1/announce`.
///
/// # Errors
///
/// Fails if the path, the method or the body is wrong, or a field is out of its range.
pub fn parse_announcement(request: &Request) -> Result<Announcement, AnnounceError> {
    check_target(request, &Method::POST)?;
    let announcement: Announcement = request.parse()?;
    announcement.validate()?;
    Ok(announcement)
}

/// Parses and validates a `DELETE /v1/announce`.
///
/// # Errors
///
/// Fails as [`parse_announcement`] does.
pub fn parse_departure(request: &Request) -> Result<Departure, AnnounceError> {
    check_target(request, &Method::DELETE)?;
    let departure: Departure = request.parse()?;
    check_name("name", &departure.name)?;
    Ok(departure)
}

fn check_target(request: &Request, method: &Method) -> Result<(), AnnounceError> {
    if request.path != ANNOUNCE_PATH {
        return Err(AnnounceError::WrongPath);
    }
    if request.method != *method {
        return Err(AnnounceError::WrongMethod);
    }
    Ok(())
}

fn check_name(field: &'static str, name: &str) -> Result<(), AnnounceError> {
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    check(field, valid, "between 1 and 128 bytes long")
}

fn check(field: &'static str, valid: bool, expected: &'static str) -> Result<(), AnnounceError> {
    if valid {
        Ok(())
    } else {
        Err(AnnounceError::OutOfRange { field, expected })
    }
}
