//! The settings of a single process, and the operators' configuration, which applies to all
//! processes.

mod configuration;
mod current;
mod diff;
mod fault;
mod folder;
mod history;
mod published;
mod schema;
mod settings;
mod suggest;
mod tenant;
mod token;

pub use configuration::{
    Configuration, Firm, Group, Limits, Operators, Preference, Principal, Team,
};
pub use current::{ApplyOutcome, Current, Snapshot};
pub use diff::{Change, ChangeKind, changes};
pub use fault::{Fault, Severity};
pub use folder::{
    FileStamp, Merged, Provenance, SourceFile, merge_files, merge_folder, read_folder, read_stable,
};
pub use history::{LastEdit, UndoneEdit};
pub use published::{
    CONFIG_KEY, FORMAT_VERSION, MAX_ANCESTORS, MAX_VALUE_BYTES, Published, PublishedBuilder,
    PublishedError,
};
pub use settings::{
    AgentLimits, AgentSettings, EntryLimits, EntrySettings, GatewayLimits, GatewaySettings,
    LogFormat, LogLevel, LogSettings, SettingsError, SidecarSettings, read_settings,
};
pub use tenant::Tenant;
pub use token::Token;
