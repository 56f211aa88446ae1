//! The entry on the users' platform: connects the decisions about jobs that are not kept with
//! callers, with the agents of hosts, and with the platform's store.

mod actions;
mod bootstrap;
mod callers;
mod configuration;
mod directory;
mod limits;
mod links;
mod metrics;
mod process;
mod readiness;

pub use process::GatewayProcess;
