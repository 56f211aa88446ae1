//! Load and policy experiments in simulated time.
//!
//! The production `dispatch` and `execution` code of entries and agents runs unchanged between fake
//! clients, targets and a fake platform.

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
