//! The entry on the users' platform: connects the decisions about jobs that are not kept with
//! callers, with the agents of hosts, and with the platform's store.

mod actions;
mod bootstrap;
mod callers;
mod configuration;
mod directory;
mod links;
mod metrics;
mod ports;
mod process;

pub use process::GatewayProcess;
