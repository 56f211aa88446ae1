//! Faults found in settings and in the operators' folder.

use derive_more::{Display, Error};
use strum::IntoStaticStr;

/// Whether a fault prevents the use of the configuration.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration cannot be used.
    #[display("error")]
    Error,
    /// The configuration can be used, but is probably not as intended.
    #[display("warning")]
    Warning,
}

/// A fault with its file, its key and a remedy.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{severity}: {file}: {key}: {message}; {remedy}")]
pub struct Fault {
    /// Whether the fault prevents the use of the configuration.
    pub severity: Severity,
    /// Name of the file, or of the folder.
    pub file: String,
    /// Path of the key, the line if the text cannot be parsed, or empty for the whole file.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

impl Fault {
    pub(crate) fn error(file: &str, key: &str, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            file: file.to_owned(),
            key: key.to_owned(),
            message: message.into(),
            remedy: String::from("correct the value"),
        }
    }

    pub(crate) fn warning(file: &str, key: &str, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(file, key, message)
        }
    }

    pub(crate) fn with_remedy(mut self, remedy: impl Into<String>) -> Self {
        self.remedy = remedy.into();
        self
    }

    /// Returns whether the fault prevents the use of the configuration.
    #[must_use]
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}
