//! Timeouts, retry delays and size limits of an entry.

/// How long an agent may delay the answer to an update request while it has nothing urgent to
/// report, in milliseconds. The answer renews the entry's permit (700 ms) and its view of the host.
pub const UPDATE_WAIT_MS: u64 = 150;

/// Time beyond [`UPDATE_WAIT_MS`] within which the answer to an update request must arrive, in
/// milliseconds; otherwise the connection counts as lost.
pub const UPDATE_TIMEOUT_MS: u64 = 150;

/// Maximum age of a host view that is used for placement, in milliseconds: the longest time that
/// an update request can take without a timeout.
pub(crate) const VIEW_MAX_AGE_MS: u64 = UPDATE_WAIT_MS + UPDATE_TIMEOUT_MS;

/// Time after the receipt of an agent's last permit by which every run of the unreachable agent
/// has ended, in milliseconds: the permit (700), the time to stop runs (250), the lease of the
/// target on a clock that is 2 % slow (717), and timer delays.
pub const MAX_RUN_AFTER_PERMIT_MS: u64 = 1_750;

/// Time that a host has to deliver its first view after the entry starts to connect to it, in
/// milliseconds: some connection attempts and a round trip.
pub(crate) const FIRST_VIEW_TIMEOUT_MS: u64 = 500;

/// Time for which a disconnected host is kept after its last permit, in milliseconds: the lease of
/// its registration (60,000), which its agent renews while it is alive.
pub const HOST_RETENTION_MS: u64 = 60_000;

/// Time for which an answer is kept, in milliseconds; copies of a request arrive for a few
/// seconds.
pub(crate) const ANSWER_RETENTION_MS: u64 = 10_000;

/// Maximum number of answers that are kept.
pub(crate) const MAX_RETAINED_ANSWERS: usize = 20_000;

/// Maximum number of jobs in progress; more would exceed the memory of a small host.
pub(crate) const MAX_JOBS: usize = 10_000;

/// Maximum number of tasks of one job.
pub(crate) const MAX_TASKS: usize = 4_096;

/// Number of targets that may crash while they run a task before its job fails.
pub(crate) const MAX_CRASHES: u32 = 3;

/// Number of targets that may crash right after they have started a task before its job fails, if one
/// of them had started no other job: by chance, that is unlikely to happen to a task twice.
pub(crate) const MAX_CRASHES_AT_START: u32 = 2;

/// Delay before a retry of the placement when the host still has another run of the task, in
/// milliseconds.
pub(crate) const OCCUPIED_RETRY_MS: u64 = 60;

/// Delay before a retry of the placement when no host was found, or when the host had no target
/// or an expired permit, in milliseconds.
pub(crate) const PLACEMENT_RETRY_MS: u64 = 10;

/// Time that a task may wait in the queue of a host beyond its expected wait, in milliseconds; a
/// shorter time would be less than the round trips to move it to another host.
pub(crate) const MIN_QUEUE_TIMEOUT_MS: u64 = 30;

/// Factor on the expected wait in the time that a task may wait in the queue of a host. The agent
/// returns a task at once if it does not expect to start it in that time, so that a factor below one
/// would send tasks around between hosts that all have the wait that was expected.
pub(crate) const QUEUE_WAIT_FACTOR: f64 = 1.25;

/// Age from which on a host's estimates of interference no longer count, in milliseconds: three
/// intervals at which agents send them.
pub(crate) const EFFECTS_MAX_AGE_MS: u64 = 6_000;

/// Time within which a withdrawal must be confirmed, in milliseconds; otherwise the job is
/// answered as one that may have run.
pub(crate) const WITHDRAWAL_TIMEOUT_MS: u64 = 150;
