//! Reads a settings file.

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
use crate::schema::{Checker, Key, missing};

/// Default of the longest time that a planned stop waits, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Every fault in a settings file.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{}", render(faults))]
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
    DRAIN_TIMEOUT_MS
}

/// Reads a settings file as text.
///
/// # Errors
///
/// Fails if the file cannot be read.
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

/// Parses settings after checking every key; `contradictions` checks values together.
pub(super) fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    keys: &[Key],
    contradictions: fn(&str, &T) -> Vec<Fault>,
) -> Result<T, SettingsError> {
    let mut faults = Vec::new();
    let settings = parse_into(file, text, keys, &mut faults);
    if let Some(settings) = &settings {
        faults.extend(contradictions(file, settings));
    }
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError { faults }),
    }
}

/// Reports an address that others cannot connect to because it names no host.
pub(super) fn check_advertised(
    file: &str,
    key: &str,
    listened: SocketAddr,
    advertised: Option<SocketAddr>,
) -> Option<Fault> {
    let advertised_key = format!("advertised_{key}");
    let remedy = format!("set `{advertised_key}` to the IP number and port that others use");
    match advertised {
        Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
            Some(Fault::error(file, &advertised_key, "cannot be connected to").with_remedy(remedy))
        }
        None if listened.ip().is_unspecified() => {
            Some(Fault::error(file, key, "does not tell others the host").with_remedy(remedy))
        }
        _ => None,
    }
}

/// Returns the names of the settings that differ, in the order of `keys`.
pub(super) fn differing<T: Serialize>(keys: &[Key], one: &T, other: &T) -> Vec<&'static str> {
    let values = |settings: &T| Table::try_from(settings).unwrap_or_default();
    let (one, other) = (values(one), values(other));
    keys.iter()
        .map(|key| key.name)
        .filter(|name| one.get(*name) != other.get(*name))
        .collect()
}

fn parse_into<T: DeserializeOwned>(
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
    faults.extend(missing(file, "", &table, keys));
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

fn render(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
