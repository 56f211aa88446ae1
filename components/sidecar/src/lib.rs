//! The agent process on the users' platform, for runs that `gateway` entries order; the `agent`
//! crate is the agent process for sharded jobs.
//!
//! The `hosting` crate decides which runs to start and stop on the host. This crate does the I/O:
//! with the target on the same host, with the entries, and with the platform's store.

mod announcements;
mod calls;
mod entries;
mod evacuation;
mod metrics;
mod process;
mod registration;
mod reports;

pub use process::SidecarProcess;
