//! Decisions of an agent about the runs on its host: whose orders count, what starts, what is
//! stopped, and for how long the target may go on without the agent.
//!
//! No I/O, clock or random source: events and the time in, actions out. Times are
//! milliseconds on a clock that also counts suspensions of the host.

mod action;
mod health;
mod host;
mod lease;
mod limits;
mod queue;
mod run;
mod session;
mod speed;
mod target;

pub use action::HostAction;
pub use host::Host;
pub use lease::HoldRequest;
pub use limits::{
    CALL_TIMEOUT_MS, HOLD_WAIT_MS, LEASE_MS, LINK_GRACE_MS, ORDER_TIMEOUT_MS, PERMIT_TTL_MS,
    STOP_CONFIRM_MS,
};
pub use target::{
    EndedRun, HoldOutcome, Holding, RunningRun, StartOutcome, StartRefusal, TargetEnd, TargetReport,
};
