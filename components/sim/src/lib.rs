//! A model of the served systems around the real decisions: targets with leases and speeds,
//! agents, entries with aged views, clients that come back, and faults.
//!
//! Everything is seeded and runs on a simulated clock. The same world proves promises and
//! measures policies.

mod agent;
mod client;
mod entry;
mod event;
mod fault;
mod report;
mod scenario;
mod target;
mod world;

pub use client::{Burst, JobKind, Load};
pub use fault::{Fault, FaultKind};
pub use report::{KindReport, Report, Violation};
pub use scenario::{Scenario, deployment, patterns, usual_load};
pub use target::TargetSpec;
pub use world::{Deployment, World};
