//! Commands of the binaries `shallotcross` and `shallotcross-agent`.

mod answer;
mod cli;
mod cmd;
mod entry_client;
mod process;
mod publication;
mod resubmission;
mod settings_file;
mod submission;

pub use cli::{Program, run_program};
pub use cmd::{AGENT, SHALLOTCROSS};
