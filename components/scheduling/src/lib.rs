//! Scheduling at an entry, for jobs that belong to no shard: which jobs are admitted, on which hosts
//! their tasks run, when tasks are retried, and how the caller is answered. Jobs are held in memory
//! only. The `dispatch` crate decides about sharded jobs.
//!
//! The crate does no I/O and reads no clock or random source: it takes events and the current time,
//! and returns actions to perform. Times are in milliseconds on a monotonic clock that also counts
//! the time for which the host is suspended.

mod admission;
mod answer_cache;
mod baseline;
mod disturbance;
mod forecast;
mod host;
mod job;
mod limits;
mod placement;
mod quarantine;
mod request;
mod routes;
mod scheduler;
mod subset;
mod verdict;

pub use baseline::PlacementRule;
pub use forecast::{ForecastOutcome, ForecastStage};
pub use host::{HostInfo, HostSlot, HostStatus};
pub use job::JobSlot;
pub use limits::{HOST_RETENTION_MS, MAX_RUN_AFTER_PERMIT_MS, UPDATE_TIMEOUT_MS, UPDATE_WAIT_MS};
pub use request::{JobRequest, QueueRules, StepRequest};
pub use routes::{Route, RouteTable};
pub use scheduler::{AdmissionInputs, Scheduler, SchedulerAction, SubmitOutcome};
pub use subset::MIN_CONNECTED_HOSTS;
pub use verdict::{JobState, NotRunReason, Verdict};
