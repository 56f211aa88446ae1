//! The agent process, which runs beside each target: connects the agent state machine with its
//! target, the entries and operators.

mod announcements;
mod batching;
mod directory;
mod http;
mod metrics;
mod process;
mod tasks;

pub use process::AgentProcess;
