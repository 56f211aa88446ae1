//! Decisions of an agent about the runs on its host: which entries' orders it accepts, which runs
//! it starts and stops, and how long the target may continue its runs without the agent.
//!
//! An entry orders the runs of tasks; the agent passes them to the target, the back end on the
//! same host, and reports their events to the entry. The state machine [`Host`] has no I/O, clock
//! or random source: it takes events and the current time, and returns actions. Times are
//! milliseconds on a clock that also advances while the host is suspended.

mod action;
mod doubt;
mod forecast;
mod health;
mod host;
mod incarnation;
mod lease;
mod limits;
mod neighbors;
mod queue;
mod repeats;
mod run;
mod session;
mod target;

pub use action::TargetCall;
pub use host::{CheckOutcome, Host, ReportOutcome};
pub use incarnation::TargetIdentity;
pub use lease::TargetPoll;
pub use limits::{
    LEASE_MS, MAX_PARALLEL_POLLS, PERMIT_TTL_MS, RECONNECT_GRACE_MS, STOP_CONFIRM_MS,
    TARGET_CALL_TIMEOUT_MS, WITHDRAWAL_CONFIRM_MS,
};
pub use target::{
    EndedRun, RunningRun, StartOutcome, StartRefusal, TargetEnd, TargetPollOutcome, TargetReport,
    TargetRuns,
};
