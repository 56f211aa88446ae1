//! Format and levels of a process's log.

use std::collections::BTreeMap;

use ::log::LevelFilter;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::schema::{Key, Kind};

/// The keys of the table `log`.
pub(super) const KEYS: &[Key] = &[
    Key::optional("format", Kind::Choice(LogFormat::VARIANTS)),
    Key::optional("level", Kind::Choice(LogLevel::VARIANTS)),
    Key::optional("parts", Kind::MapOf(&Kind::Choice(LogLevel::VARIANTS))),
];

/// Format and levels of a process's log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Level of the log targets that `parts` does not list.
    pub level: LogLevel,
    /// Levels by log target.
    pub parts: BTreeMap<String, LogLevel>,
}

/// Format of a line in the log.
#[derive(
    Debug,
    Default,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object a line.
    #[display("json")]
    Json,
}

/// Minimum severity of the events that are logged.
#[derive(
    Debug,
    Default,
    Display,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    #[display("off")]
    Off,
    /// Errors only.
    #[display("error")]
    Error,
    /// Warnings and above.
    #[display("warn")]
    Warn,
    /// Normal events and above.
    #[default]
    #[display("info")]
    Info,
    /// Details for debugging and above.
    #[display("debug")]
    Debug,
    /// Everything.
    #[display("trace")]
    Trace,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Self::Off,
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}
