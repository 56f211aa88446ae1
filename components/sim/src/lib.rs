//! Discrete-event simulation around the production `scheduling` and `hosting` code: targets with
//! leases and speeds, agents, entries with stale views of hosts, clients that retry, and faults.
//!
//! Every run is seeded and uses a simulated clock. The same model checks the safety guarantees and
//! measures placement policies.

mod agent;
mod client;
mod entry;
mod evacuation;
mod event;
mod fault;
mod interference;
mod report;
mod scenario;
mod target;
mod world;

pub use client::{Burst, JobKind, Load};
pub use fault::{Fault, FaultKind};
pub use interference::Interference;
pub use report::{ForecastReport, KindReport, Report, StageReport, Violation};
pub use scenario::{Scenario, crashing_tasks, deployment, patterns, quarter_evacuated, usual_load};
pub use target::TargetSpec;
pub use world::{Deployment, World};
