//! A randomized soak test with real processes.
//!
//! It runs the programs on one host against stand-ins for the store and the targets, injects random
//! faults from outside, and checks the guarantees: no task runs on two targets at the same time, no
//! refused job runs, and jobs are completed again after the last fault.

mod builds;
mod clients;
mod evacuation;
mod faults;
mod process;
mod proxy;
mod soak;
mod upgrade;

pub use builds::{Profile, production_commit, production_programs};
pub use faults::FaultKind;
pub use process::Programs;
pub use soak::{Outcome, Plan, run};
