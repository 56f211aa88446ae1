//! What the operators' commands `check`, `publish` and `show` decide and print.
//!
//! Nothing here calls the platform: [`Publish`] asks for calls and is told their outcomes.

mod conflict;
mod outcome;
mod publish;
mod render;
mod time;

pub use conflict::{Conflict, Edit};
pub use outcome::Outcome;
pub use publish::{Action, Event, Expected, MAX_FAILURES, Publish, Stored};
pub use render::{Report, render_check, render_diff, render_outcome, render_show};
