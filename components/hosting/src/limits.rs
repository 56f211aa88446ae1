//! Time limits of an agent.
//!
//! A client repeats a request 1,300 ms after it lost its answer, at any entry. Until then
//! every run for the lost request has to be over: see docs/PLATFORM.md for the sum.

/// How long a permit lasts, in milliseconds: four intervals between an entry's questions.
pub const PERMIT_TTL_MS: u64 = 700;

/// How long the runs of an entry go on after its connection has closed, in milliseconds: enough
/// for a new connection across failure domains.
pub const LINK_GRACE_MS: u64 = 250;

/// How long the target may go on without hearing from the agent, in milliseconds: three lost
/// calls, and below the longest lease that targets grant (1,000 ms).
pub const LEASE_MS: u64 = 700;

/// How long a question to the target waits for an end, in milliseconds.
pub const HOLD_WAIT_MS: u64 = 100;

/// How long an answer of the target may take beyond the wait asked for, in milliseconds; it is
/// on the same host.
pub const CALL_TIMEOUT_MS: u64 = 80;

/// How long an answer to a start or a stop may take, in milliseconds; it is a matter of one or two
/// on the same host, and sending one again does no harm.
pub const ORDER_TIMEOUT_MS: u64 = 25;

/// How long after the target left a call unanswered its runs are asked for twice at a time, in
/// milliseconds.
pub(crate) const DOUBT_MS: u64 = 5_000;

/// How long after an entry has lost its authority its runs may take to end before the lease of
/// the whole target is no longer renewed, in milliseconds: five stops, sent every 50 ms.
pub const STOP_CONFIRM_MS: u64 = 250;

/// Interval between stops of the same run, in milliseconds; a stop takes up to 50 ms.
pub(crate) const STOP_RETRY_MS: u64 = 50;

/// How long the state of an entry that has gone is kept, in milliseconds.
pub(crate) const SESSION_KEPT_MS: u64 = 10_000;

/// How long the number of a task's last run is remembered, in milliseconds; a client sends
/// copies for a few seconds.
pub(crate) const NUMBER_KEPT_MS: u64 = 30_000;

/// Events kept for an entry that does not fetch them.
pub(crate) const MAX_EVENTS: usize = 8_192;

/// Tasks that may wait at the host.
pub(crate) const MAX_QUEUE: usize = 512;

/// How long a run may show no progress before it counts as stalled, in milliseconds; the target
/// reports progress in percent.
pub(crate) const STALL_MS: u64 = 120;

/// Time before its latest start from which on a task takes room that is kept for urgent ones, in
/// milliseconds: half of the longest time that it waits at one host.
pub(crate) const RESERVE_SLACK_MS: u64 = 40;

/// Pause after the target refused a run for want of room, in milliseconds: until the next list
/// of what runs.
pub(crate) const ROOM_PAUSE_MS: u64 = 20;

/// Failures of different jobs in a row after which the target counts as failing.
pub(crate) const FAILURES_IN_A_ROW: usize = 3;

/// How long a failing target gets no work, in milliseconds.
pub(crate) const EJECTION_MS: u64 = 1_000;
