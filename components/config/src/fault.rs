//! Faults found in settings and in the operators' folder.

use derive_more::{Display, Error};
use strum::IntoStaticStr;

/// Tells whether a fault prevents the use of the file.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration cannot be used.
    #[display("error")]
    Error,
    /// The configuration can be used, but is probably not what was meant.
    #[display("warning")]
    Warning,
}

/// A fault with the file, the key and what to do.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{severity}: {file}: {key}: {message}; {remedy}")]
pub struct Fault {
    /// Whether the fault prevents the use of the file.
    pub severity: Severity,
    /// Name of the file, or of the folder.
    pub file: String,
    /// Path of the key, or the line if no key is known.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What to do.
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

    /// Tells whether the fault prevents the use of the file.
    #[must_use]
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}
