//! The process beside each target: connects the decisions of an agent with its target, with
//! the entries, and with the operators.

mod announcements;
mod batching;
mod directory;
mod http;
mod metrics;
mod process;
mod tasks;

pub use process::AgentProcess;
