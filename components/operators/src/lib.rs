//! What the operators' commands `check`, `publish` and `show` decide and print.
//!
//! Nothing here calls the platform: [`Publish`] asks for calls and is told their outcomes.

mod call;
mod conflict;
mod outcome;
mod publish;
mod render;
mod shards;
mod time;

pub use call::{Action, Event, Expected, Stored};
pub use conflict::{Conflict, Edit};
pub use outcome::Outcome;
pub use publish::{MAX_FAILURES, Publish};
pub use render::{Report, render_check, render_diff, render_outcome, render_show};
