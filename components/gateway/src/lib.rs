//! The entry process on the users' platform, for jobs that belong to no shard; the `entry` crate is
//! the entry process for sharded jobs.
//!
//! Accepts jobs over HTTP and answers each when it has ended; jobs are held in memory only. The
//! `scheduling` crate decides about admission and placement. This crate does the I/O: with callers,
//! with the agents of hosts, with other entries and with the platform's store.

mod actions;
mod bootstrap;
mod caller_connections;
mod callers;
mod configuration;
mod directory;
mod evacuation;
mod limits;
mod links;
mod metrics;
mod process;
mod readiness;

pub use process::GatewayProcess;
