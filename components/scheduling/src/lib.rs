//! Decisions of an entry about jobs of which nothing is kept: what is admitted, where tasks
//! run, when they run again, and what the caller is told.
//!
//! No I/O, clock or random source: events and the time in, actions out. Times are
//! milliseconds on a clock that also counts suspensions of the host.

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
