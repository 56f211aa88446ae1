//! The outcome of an attempt to publish.

use config::{Change, Fault, PublishedError, UndoneEdit};
use errors::ExitCode;

use crate::conflict::{Conflict, Edit};

/// The outcome of an attempt to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration was published and is in force.
    Published {
        /// Its revision.
        revision: u64,
        /// Changes from the configuration before it.
        changes: Vec<Change>,
    },
    /// The same configuration is already in force; nothing was written.
    Unchanged {
        /// Its revision.
        revision: u64,
    },
    /// The configuration was published, and a later edit has since replaced it.
    Superseded {
        /// The later edit.
        by: Edit,
    },
    /// The revision in force is not the expected one; nothing was written.
    Conflict(Box<Conflict>),
    /// The folder lacks edits by other operators, which publishing it would revert; nothing was
    /// written.
    WouldUndoEdits {
        /// Revision in force.
        revision: u64,
        /// The edits that would be reverted.
        edits: Vec<UndoneEdit>,
    },
    /// The configuration makes changes that are not allowed; nothing was written.
    Refused {
        /// The changes that are not allowed.
        faults: Vec<Fault>,
    },
    /// The value in force or the new one cannot be used; nothing was written.
    Invalid {
        /// The reason.
        error: PublishedError,
    },
    /// The platform could not be read; nothing was written.
    Unavailable {
        /// Reason of the last failure.
        message: String,
    },
    /// The result of the write is unknown: its response was lost, and reading back did not show
    /// whether the value was written.
    Unknown {
        /// Reason of the last failure.
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
            Self::Conflict(_) | Self::WouldUndoEdits { .. } => ExitCode::Conflict,
            Self::Refused { .. } | Self::Invalid { .. } => ExitCode::Invalid,
            Self::Unavailable { .. } | Self::Unknown { .. } => ExitCode::Unavailable,
        }
    }
}
