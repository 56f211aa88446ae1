//! Reads and validates a settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use errors::ExitCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::Table;

use crate::fault::{Fault, Severity};
use crate::folder::line_of;
use crate::schema::{Checker, Key, missing_keys};

/// Default of the maximum duration of a planned stop.
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Every fault in a settings file.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{}", render_faults(faults))]
pub struct SettingsError {
    /// The faults; at least one.
    pub faults: Vec<Fault>,
}

impl From<SettingsError> for errors::Error {
    fn from(error: SettingsError) -> Self {
        Self::new(ExitCode::Invalid, error.to_string())
    }
}

pub(super) fn default_drain_timeout_ms() -> u64 {
    DEFAULT_DRAIN_TIMEOUT_MS
}

/// Reads a settings file as text.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_settings(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        let fault = Fault::error(&file, "", format!("cannot be read: {error}"))
            .with_remedy("name an existing file in UTF-8 that this user may read");
        SettingsError {
            faults: vec![fault],
        }
    })
}

/// Parses settings after checking every key. `check_consistency` then checks values against each
/// other.
pub(super) fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    keys: &[Key],
    check_consistency: fn(&str, &T) -> Vec<Fault>,
) -> Result<T, SettingsError> {
    let mut faults = Vec::new();
    let settings = parse_checked(file, text, keys, &mut faults);
    if let Some(settings) = &settings {
        faults.extend(check_consistency(file, settings));
    }
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError { faults }),
    }
}

/// Returns a fault if other hosts cannot connect to an address: the advertised address, or the
/// listening address if there is none, is a wildcard address, or the advertised port is zero.
pub(super) fn check_advertised(
    file: &str,
    key: &str,
    listening: SocketAddr,
    advertised: Option<SocketAddr>,
) -> Option<Fault> {
    let advertised_key = format!("advertised_{key}");
    let remedy = format!("set `{advertised_key}` to the IP number and port that others use");
    match advertised {
        Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
            Some(Fault::error(file, &advertised_key, "cannot be connected to").with_remedy(remedy))
        }
        None if listening.ip().is_unspecified() => Some(
            Fault::error(file, key, "does not name a host that others can connect to")
                .with_remedy(remedy),
        ),
        _ => None,
    }
}

/// Returns the names of the keys whose values differ, in the order of `keys`.
pub(super) fn differing_keys<T: Serialize>(keys: &[Key], one: &T, other: &T) -> Vec<&'static str> {
    let values = |settings: &T| Table::try_from(settings).unwrap_or_default();
    let (one, other) = (values(one), values(other));
    keys.iter()
        .map(|key| key.name)
        .filter(|name| one.get(*name) != other.get(*name))
        .collect()
}

/// Parses settings and checks every key on its own; adds what it finds to `faults`.
fn parse_checked<T: DeserializeOwned>(
    file: &str,
    text: &str,
    keys: &[Key],
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let mut table = match text.parse::<Table>() {
        Ok(table) => table,
        Err(error) => {
            let line = line_of(text.as_bytes(), error.span().map_or(0, |span| span.start));
            let fault = Fault::error(file, &line, error.message());
            faults.push(fault.with_remedy("correct the TOML at this line"));
            return None;
        }
    };
    faults.extend(missing_keys(file, "", &table, keys));
    faults.extend(Checker::new(file, Severity::Error).check(&mut table, keys));
    if !faults.is_empty() {
        return None;
    }
    match table.try_into() {
        Ok(settings) => Some(settings),
        Err(error) => {
            faults.push(Fault::error(file, "", error.message()));
            None
        }
    }
}

fn render_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
