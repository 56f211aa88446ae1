//! Limits of an agent.
//!
//! A caller repeats a request at any entry 1,300 ms after it lost the answer. By then every run
//! for the lost request must have ended; docs/PLATFORM.md adds up the delays.

/// Lifetime of a permit, in milliseconds: four intervals between the update requests of an entry,
/// which are answered after 150 ms at the latest, and their round trips.
///
/// An agent issues a permit with its updates and accepts orders only with a valid one.
pub const PERMIT_TTL_MS: u64 = 700;

/// How long the runs of an entry continue after its connection closed, in milliseconds: enough to
/// reconnect across failure domains.
pub const RECONNECT_GRACE_MS: u64 = 250;

/// Lease under which the target continues its runs without a call from the agent, in
/// milliseconds: three lost polls, and below the longest lease that targets grant (1,000 ms).
pub const LEASE_MS: u64 = 700;

/// How long a poll of the target waits there for the end of a run, in milliseconds.
pub const TARGET_POLL_WAIT_MS: u64 = 100;

/// How long a poll waits at the target while runs are stopped that it may have started in place of its
/// previous incarnation, in milliseconds; a stop is answered in one or two.
pub(crate) const CONFIRM_WAIT_MS: u64 = 10;

/// Timeout of a poll in addition to the wait asked for, in milliseconds; the target is on the
/// same host.
pub const TARGET_POLL_TIMEOUT_MS: u64 = 80;

/// Timeout of a start or a stop, in milliseconds. The answer takes one or two on the same host,
/// and both calls are idempotent.
pub const TARGET_CALL_TIMEOUT_MS: u64 = 25;

/// How long after an unanswered call the agent polls the target in parallel, in milliseconds.
pub(crate) const PARALLEL_POLL_MS: u64 = 5_000;

/// Number of parallel polls of a target that leaves calls unanswered. The agent learns of an end late
/// only if all of them are lost.
pub const MAX_PARALLEL_POLLS: usize = 3;

/// How long each parallel poll waits at the target for the end of a run, in milliseconds; a lost
/// one blocks its successor for that time and [`TARGET_CALL_TIMEOUT_MS`].
pub(crate) const PARALLEL_POLL_WAIT_MS: u64 = 40;

/// Age of a run at the crash of its target up to which it may be the cause, in milliseconds: long enough
/// for a task to begin its work, and so short that few runs start in it on a busy host.
pub(crate) const SUSPECT_AGE_MS: u64 = 30;

/// How long the runs of an entry may take to end after it lost its authority, in milliseconds. After
/// that the lease of the whole target is not renewed.
pub const STOP_CONFIRM_MS: u64 = 250;

/// How long a run that its entry withdraws may take to end, in milliseconds. After that the lease of the
/// whole target is not renewed until the run has ended. It has expired 300 ms before the caller of the run
/// can send the job again ([`model::CALLER_RETRY_MS`]), by which a busy process may be late.
pub const WITHDRAWAL_CONFIRM_MS: u64 = 200;

/// Pause before a stop is repeated while the lease of a run with a time to end has not expired, in
/// milliseconds: by then the call has failed or been answered.
pub(crate) const URGENT_STOP_RETRY_MS: u64 = TARGET_CALL_TIMEOUT_MS;

/// Pause before each of the first [`STEADY_STOPS`] repeats of any other stop, in milliseconds; a stop
/// takes up to 50 ms.
pub(crate) const STOP_RETRY_MS: u64 = 50;

/// Number of repeats of a stop after which its pauses grow.
pub(crate) const STEADY_STOPS: u32 = 5;

/// Time that a target takes to end a run after it has accepted the stop, in milliseconds.
pub(crate) const STOP_MS: u64 = 50;

/// Longest pause before a stop is repeated, in milliseconds.
pub(crate) const MAX_STOP_PAUSE_MS: u64 = 200;

/// First pause before a start is repeated, in milliseconds; the interval of the agent's timer.
pub(crate) const MIN_START_PAUSE_MS: u64 = 20;

/// Longest pause before a start is repeated, in milliseconds.
pub(crate) const MAX_START_PAUSE_MS: u64 = 200;

/// Number of immediate repeats of a start that was not answered in time. Of targets that leave one
/// call in twenty unanswered, one start in 8,000 needs a third repeat.
pub(crate) const IMMEDIATE_AFTER_TIMEOUT: u32 = 2;

/// Number of immediate repeats of a start whose call was inconclusive before its time limit: a
/// connection that the target has just closed fails once.
pub(crate) const IMMEDIATE_AFTER_FAILURE: u32 = 1;

/// Number of immediate repeats of a start that was refused for its token, number or lease; few
/// doubling steps make up for the usual differences.
pub(crate) const IMMEDIATE_AFTER_REFUSAL: u32 = 4;

/// Most repeats of a start. A fencing token from a clock that was set back by a day needs 17.
pub(crate) const MAX_START_REPEATS: u32 = 20;

/// First pause before a poll that failed immediately is repeated, in milliseconds.
pub(crate) const MIN_POLL_PAUSE_MS: u64 = 20;

/// Longest pause before a poll that failed immediately is repeated, in milliseconds. The target's
/// next report ends the pause. While runs depend on the lease, a poll that was reset is repeated after
/// [`MIN_POLL_PAUSE_MS`]: with growing pauses, resets for 500 ms let the lease lapse.
pub(crate) const MAX_POLL_PAUSE_MS: u64 = 200;

/// How long a target may leave calls without an answer before its host is closed and waiting tasks are
/// given back, in milliseconds: three calls in a row.
pub(crate) const DOUBT_TOLERANCE_MS: u64 = 3 * TARGET_CALL_TIMEOUT_MS;

/// Most incarnations of the target that are known from reports only; the oldest are dropped.
pub(crate) const MAX_CLAIMS: usize = 8;

/// How long the target is asked about an incarnation that only a report names, in milliseconds: three
/// intervals of its reports.
pub(crate) const CLAIM_RETENTION_MS: u64 = 4_500;

/// Largest step by which a fencing token that is too low is raised: a year in milliseconds. The
/// token would overflow after some 54 doubled steps.
pub(crate) const MAX_TOKEN_STEP: u64 = 31_536_000_000;

/// How long the state of an entry is kept after its last request, in milliseconds.
pub(crate) const SESSION_RETENTION_MS: u64 = 10_000;

/// How long the number of a task's last run is kept, in milliseconds; a caller repeats a request
/// for a few seconds.
pub(crate) const RUN_NUMBER_RETENTION_MS: u64 = 30_000;

/// How long a run is kept whose start the next incarnation of a target may execute, while the target is
/// silent, in milliseconds; calls are executed up to 12 s late.
pub(crate) const HELD_RUN_RETENTION_MS: u64 = 15_000;

/// Most events kept for an entry that does not fetch them.
pub(crate) const MAX_EVENTS: usize = 8_192;

/// Most runs, waiting or at the target, with which further orders are accepted; also the number
/// of kept run numbers above which expired ones are removed.
pub(crate) const MAX_RUNS: usize = 512;

/// Shortest time without progress after which a run counts as stalled, in milliseconds; a fifth
/// of the estimated run time if that is longer. The target reports progress in percent.
pub(crate) const MIN_STALL_MS: u64 = 120;

/// Time before its latest start from which a task may use the resources reserved for urgent ones,
/// in milliseconds.
pub(crate) const RESERVATION_SLACK_MS: u64 = 40;

/// Pause between starts after the target refused one for lack of resources, in milliseconds. The
/// next list of running runs follows within [`TARGET_POLL_WAIT_MS`].
pub(crate) const NO_ROOM_BACKOFF_MS: u64 = 20;

/// Interval at which each entry gets the estimated effects of kinds on each other, in milliseconds. At
/// 300 bytes for 14 entries, they take 2 KB/s at most.
pub(crate) const EFFECTS_INTERVAL_MS: u64 = 2_000;

/// Number of different jobs that have to fail in a row for the target to be ejected.
pub(crate) const CONSECUTIVE_FAILED_JOBS: usize = 3;

/// How long an ejected target gets no tasks, in milliseconds.
pub(crate) const EJECTION_MS: u64 = 1_000;
