//! A randomized soak: runs the real programs as processes on one host against stand-ins of the
//! platform, injects faults from outside, and checks the promises while it runs.

mod clients;
mod faults;
mod process;
mod proxy;
mod soak;

pub use faults::FaultKind;
pub use process::Programs;
pub use soak::{Outcome, Plan, run};
