//! The error that a command reports to the person who ran it.

use std::process;

use derive_more::{Display, Error as StdError};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit status of a command.
#[derive(Debug, Default, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    #[default]
    #[display("ok")]
    Ok = 0,
    /// The command failed for a reason that has no exit status of its own.
    #[display("failure")]
    Failure = 1,
    /// The command line was wrong.
    #[display("usage")]
    Usage = 2,
    /// A concurrent edit was applied first.
    #[display("conflict")]
    Conflict = 3,
    /// A file or a value is invalid.
    #[display("invalid")]
    Invalid = 4,
    /// The platform or a process could not be reached.
    #[display("unavailable")]
    Unavailable = 5,
}

impl ExitCode {
    /// Returns the numeric exit status of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}

/// An error with its location, its cause and a suggested fix.
#[derive(Debug, Display, StdError, Clone, PartialEq, Eq)]
#[display("{}", self.render())]
pub struct Error {
    /// Exit status of the command.
    pub exit_code: ExitCode,
    /// File, key or address that the error is about; empty if none.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// How to fix it; empty if there is nothing to do.
    pub remedy: String,
}

impl Error {
    /// Builds an error without a place or a remedy.
    #[must_use]
    pub fn new(exit_code: ExitCode, message: impl Into<String>) -> Self {
        Self {
            exit_code,
            place: String::new(),
            message: message.into(),
            remedy: String::new(),
        }
    }

    /// Sets the file, key or address that the error is about.
    #[must_use]
    pub fn with_place(mut self, place: impl Into<String>) -> Self {
        self.place = place.into();
        self
    }

    /// Sets how to fix the error.
    #[must_use]
    pub fn with_remedy(mut self, remedy: impl Into<String>) -> Self {
        self.remedy = remedy.into();
        self
    }

    fn render(&self) -> String {
        let mut text = String::new();
        if !self.place.is_empty() {
            text.push_str(&self.place);
            text.push_str(": ");
        }
        text.push_str(&self.message);
        if !self.remedy.is_empty() {
            text.push_str("; ");
            text.push_str(&self.remedy);
        }
        text
    }
}
