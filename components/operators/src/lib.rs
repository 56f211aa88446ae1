//! Logic and output of the operators' commands `check`, `publish` and `show`.
//!
//! This crate performs no I/O. [`Publisher`] is a state machine that returns the calls to make to
//! the platform's key-value store and takes their results.

mod call;
mod conflict;
mod outcome;
mod publish;
mod render;
mod shards;
mod time;

pub use call::{Action, Event, ExpectedRevision, StoredValue};
pub use conflict::{Conflict, Edit};
pub use outcome::Outcome;
pub use publish::{MAX_FAILED_CALLS, Publisher};
pub use render::{Report, render_check, render_diff, render_outcome, render_show};
