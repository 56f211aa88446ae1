//! Time limits of an entry.

/// How long an agent may wait for an event before it answers a question, in milliseconds; the
/// answer renews the entry's permit (700 ms) and its view of the host.
pub const NEWS_WAIT_MS: u64 = 150;

/// How long an answer to a question may take beyond the wait, in milliseconds; after that the
/// connection counts as silent.
pub const NEWS_TIMEOUT_MS: u64 = 150;

/// Oldest view of a host by which tasks are placed, in milliseconds: a question that was just
/// not given up.
pub(crate) const VIEW_MAX_AGE_MS: u64 = NEWS_WAIT_MS + NEWS_TIMEOUT_MS;

/// When every run at a silent agent has ended, in milliseconds after its last permit came: the
/// permit (700), the time for stops (250), the lease of the target on a clock that is slow by 2 %
/// (717), and the delay of timers.
pub const RUN_OVER_MS: u64 = 1_750;

/// How soon a caller sends a job again after it was told that its fate is unknown, in
/// milliseconds; from the callers' interface.
pub const RESEND_MS: u64 = 1_300;

/// How long a host may take to show its first view after the entry began to connect to it, in
/// milliseconds: some tries to connect and a round trip.
pub(crate) const FIRST_VIEW_MS: u64 = 500;

/// How long a host is kept after its last news, in milliseconds: the lease of its registration
/// (60,000), which it renews for as long as it lives.
pub const HOST_KEPT_MS: u64 = 60_000;

/// How long an answered id is remembered, in milliseconds; copies of a request arrive for a few
/// seconds.
pub(crate) const ANSWERED_KEPT_MS: u64 = 10_000;

/// Answered ids that are remembered at most.
pub(crate) const MAX_ANSWERED: usize = 20_000;

/// Jobs in progress at most; beyond it the memory of a small host would not do.
pub(crate) const MAX_JOBS: usize = 10_000;

/// Tasks of one job at most.
pub(crate) const MAX_TASKS: usize = 4_096;

/// Pause before a task is placed again where another run of it is ending, in milliseconds.
pub(crate) const OCCUPIED_PAUSE_MS: u64 = 60;

/// Pause before a task that found no place is placed again, in milliseconds.
pub(crate) const PLACE_AGAIN_MS: u64 = 10;

/// Shortest time that a task may wait at a host, in milliseconds: shorter than the round trips
/// to bring it elsewhere would be of no use.
pub(crate) const MIN_PATIENCE_MS: u64 = 20;

/// Longest time that a task may wait at a host before its entry looks for another, in
/// milliseconds; longer waits follow old views.
pub(crate) const MAX_PATIENCE_MS: u64 = 80;

/// How long a withdrawal may take to be confirmed, in milliseconds; after that the job counts as
/// one that may have run.
pub(crate) const WITHDRAWAL_MS: u64 = 150;
