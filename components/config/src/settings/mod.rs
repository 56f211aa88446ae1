//! The settings of a single process, read from its own file.

mod agent;
mod entry;
mod gateway;
mod load;
mod log;
mod sidecar;

pub use agent::{AgentLimits, AgentSettings};
pub use entry::{EntryLimits, EntrySettings};
pub use gateway::{GatewayLimits, GatewaySettings};
pub use load::{SettingsError, read_settings};
pub use log::{LogFormat, LogLevel, LogSettings};
pub use sidecar::SidecarSettings;
