//! The settings of one process.

mod agent;
mod entry;
mod load;
mod log;

pub use agent::{AgentLimits, AgentSettings};
pub use entry::{EntryLimits, EntrySettings};
pub use load::SettingsError;
pub use log::{LogFormat, LogLevel, LogSettings};
