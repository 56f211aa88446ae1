//! Scheduling at an entry: which jobs are admitted, on which hosts their tasks run, when tasks
//! are retried, and how the caller is answered. Jobs are held in memory only.
//!
//! The crate does no I/O and reads no clock or random source: callers pass in events and the
//! current time, and get back actions to perform. Times are in milliseconds on a monotonic clock
//! that also counts the time for which the host is suspended.

mod admission;
mod answered;
mod baseline;
mod circle;
mod host;
mod job;
mod limits;
mod placement;
mod request;
mod routes;
mod scheduler;
mod verdict;

pub use baseline::PlacementRule;
pub use circle::FEWEST_HOSTS;
pub use host::{HostInfo, HostSlot, HostStatus};
pub use job::JobSlot;
pub use limits::{HOST_KEPT_MS, NEWS_TIMEOUT_MS, NEWS_WAIT_MS, RESEND_MS, RUN_OVER_MS};
pub use request::{JobRequest, QueueRules, StepRequest};
pub use routes::{Route, RouteTable};
pub use scheduler::{Decision, Scheduler, SchedulerAction, Submission};
pub use verdict::{NotRunReason, Verdict};
