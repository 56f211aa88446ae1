//! Settings of the log.

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
    Key::optional("parts", Kind::Named(&Kind::Choice(LogLevel::VARIANTS))),
];

/// What a process writes to its log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Level of the parts that are not named.
    pub level: LogLevel,
    /// Level of single parts.
    pub parts: BTreeMap<String, LogLevel>,
}

/// Form of a line in the log.
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

/// Least severity of what is logged.
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
    /// Errors.
    #[display("error")]
    Error,
    /// Warnings as well.
    #[display("warn")]
    Warn,
    /// Events of interest as well.
    #[default]
    #[display("info")]
    Info,
    /// Details as well.
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
