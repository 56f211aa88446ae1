//! Load and policy experiments: the decision code of entries and agents, unchanged, between
//! small fakes of clients, targets and the platform, in simulated time.

pub mod contender;
pub mod cost;
pub mod deployment;
pub mod experiment;
mod fake_host;
mod fake_platform;
pub mod ideal;
pub mod message_counts;
pub mod plot;
pub mod report;
mod rules;
pub mod scenario;
pub mod scenarios;
pub mod workload;
