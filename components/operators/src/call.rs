//! The calls that publishing asks for, and what becomes of them.

use crate::outcome::Outcome;

/// What the operator expects to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// Whatever is in force when the command starts.
    Latest,
    /// The revision that the operator last saw; zero if there was no value.
    Revision(u64),
}

/// The platform's value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Revision of the last write of the key.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What the caller is to do next; after a failed call it may wait first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the value under [`config::CONFIG_KEY`], linearizably.
    Read,
    /// Write the value if its revision is still the expected one; zero means no value.
    CompareAndSwap {
        /// Revision that the value must have.
        expected_revision: u64,
        /// The new value.
        value: String,
    },
    /// Stop.
    Finish(Outcome),
}

/// What became of the last call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The read returned a value, or that there is none.
    Read(Option<Stored>),
    /// The read failed.
    ReadFailed(String),
    /// The value was written at this revision.
    Swapped(u64),
    /// The value had another revision and was not written.
    SwapRefused,
    /// The call failed, and the value may have been written.
    SwapUnknown(String),
}

impl Event {
    /// Explains why the call counts as failed.
    pub(crate) fn message(&self) -> String {
        match self {
            Self::ReadFailed(message) | Self::SwapUnknown(message) => message.clone(),
            Self::Read(_) | Self::Swapped(_) | Self::SwapRefused => {
                String::from("the answer does not belong to the call")
            }
        }
    }
}
