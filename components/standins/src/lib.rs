//! Stand-ins for the platform's key-value service and for targets, used by tests and the demo.
//! Their injected faults can be changed at run time.
//!
//! Both run inside an existing `monoio` runtime with timers; the examples `platform` and `target`
//! run them as separate processes.

mod platform;
mod target;

pub use platform::{
    Overload, PlatformFaults, PlatformStandin, PlatformStandinBuilder, PlatformStats,
};
pub use target::{
    StartRecord, Starts, TargetFaultMode, TargetFaults, TargetStandin, TargetStandinBuilder,
};
