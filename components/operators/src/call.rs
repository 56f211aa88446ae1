//! The calls that [`Publish`](crate::Publish) requests, and their results.

use crate::outcome::Outcome;

/// The revision that the operator expects to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// The revision in force when the command starts.
    Latest,
    /// The given revision; zero if no value is expected.
    Revision(u64),
}

/// The value in the platform's key-value store, with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Revision of the last write of the key.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The next step for the caller, which may pause before it if the last call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the value of [`config::CONFIG_KEY`] with a linearizable read.
    Read,
    /// Write the value if the revision in the store is the expected one.
    CompareAndSwap {
        /// Expected revision; zero if there must be no value.
        expected_revision: u64,
        /// The new value.
        value: String,
    },
    /// Stop: publishing has ended.
    Finish(Outcome),
}

/// The result of the last call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The read returned the value, or `None` if there is no value.
    Read(Option<Stored>),
    /// The read failed.
    ReadFailed(String),
    /// The value was written at this revision.
    Swapped(u64),
    /// The store had another revision, so the value was not written.
    SwapRefused,
    /// The write failed or timed out; the value may have been written.
    SwapUnknown(String),
}

impl Event {
    /// Returns the reason why the call counts as failed.
    pub(crate) fn failure_message(&self) -> String {
        match self {
            Self::ReadFailed(message) | Self::SwapUnknown(message) => message.clone(),
            Self::Read(_) | Self::Swapped(_) | Self::SwapRefused => {
                String::from("the result does not match the call")
            }
        }
    }
}
