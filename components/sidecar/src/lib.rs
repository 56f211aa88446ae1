//! The agent on the users' platform: connects the decisions about the runs on a host with the
//! target beside it, with the entries, and with the platform's store.

mod calls;
mod entries;
mod metrics;
mod process;
mod registration;
mod reports;

pub use process::SidecarProcess;
