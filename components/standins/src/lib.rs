//! Stand-ins for the platform's key-value service and for targets, with faults that can be
//! switched while they run.
//!
//! Both start inside an existing `monoio` runtime with timers, for tests and for a demo in
//! one process; the examples `platform` and `target` run them as processes of their own.

mod platform;
mod target;

pub use platform::{
    Overload, PlatformFaults, PlatformStandin, PlatformStandinBuilder, PlatformStats,
};
pub use target::{
    StartRecord, Starts, TargetFaultMode, TargetFaults, TargetStandin, TargetStandinBuilder,
};
