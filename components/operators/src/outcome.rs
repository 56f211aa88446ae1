//! How an attempt to publish ended.

use config::{Change, Fault, PublishedError, Undone};
use errors::ExitCode;

use crate::conflict::{Conflict, Edit};

/// How an attempt to publish ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration is in force.
    Published {
        /// Its revision.
        revision: u64,
        /// What it changed.
        changes: Vec<Change>,
    },
    /// The same configuration was in force already; nothing was written.
    Unchanged {
        /// Its revision.
        revision: u64,
    },
    /// The configuration was in force, and a later edit has replaced it since.
    Superseded {
        /// The later edit.
        by: Edit,
    },
    /// Another edit got in first; nothing was written.
    Conflict(Box<Conflict>),
    /// It would undo edits of others that the folder lacks; nothing was written.
    Undoes {
        /// Revision in force.
        revision: u64,
        /// The edits.
        edits: Vec<Undone>,
    },
    /// The change is not allowed; nothing was written.
    Refused {
        /// Why.
        faults: Vec<Fault>,
    },
    /// The value in force or the new one cannot be used; nothing was written.
    Invalid {
        /// Why.
        error: PublishedError,
    },
    /// The platform could not be read; nothing was written.
    Unavailable {
        /// The last failure.
        message: String,
    },
    /// The answer to the write was lost, and what became of it could not be found out.
    Unknown {
        /// The last failure.
        message: String,
    },
}

impl Outcome {
    /// Returns the exit status of the command.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Published { .. } | Self::Unchanged { .. } | Self::Superseded { .. } => {
                ExitCode::Ok
            }
            Self::Conflict(_) | Self::Undoes { .. } => ExitCode::Conflict,
            Self::Refused { .. } | Self::Invalid { .. } => ExitCode::Invalid,
            Self::Unavailable { .. } | Self::Unknown { .. } => ExitCode::Unavailable,
        }
    }
}
