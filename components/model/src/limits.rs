//! Time limits on which the ownership of shards and the deduplication of jobs rely; see
//! `docs/DESIGN.md`.

/// Interval between heartbeats of an owner to each of its agents, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// Interval between heartbeats to an agent that has no outstanding task of the owner while no task
/// is queued for its group, in milliseconds.
///
/// Two heartbeats fit into [`AUTHORITY_TTL_MS`], so that losing one does not end the owner's
/// authority. Acknowledgements of outcomes are sent along with heartbeats, so the interval is
/// also shorter than the time after which an agent resends an unacknowledged outcome.
pub const IDLE_HEARTBEAT_INTERVAL_MS: u64 = 400;

/// How long an acknowledged heartbeat proves that the owner still owns the shard, in
/// milliseconds from the time it was sent.
pub const AUTHORITY_TTL_MS: u64 = 1_000;

/// How long an agent accepts a permit, in milliseconds on the agent's clock.
pub const PERMIT_TTL_MS: u64 = 1_000;

/// Largest tolerated difference between the wall clocks of two entries, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 250;

/// Time after a fence within which the previous owner may still have acted, in milliseconds.
///
/// Covers the previous owner's authority, the permits it may hold, and the clock skew of the
/// previous and of the new owner.
pub const TAKEOVER_HORIZON_MS: u64 = AUTHORITY_TTL_MS + PERMIT_TTL_MS + 2 * CLOCK_SKEW_MS;

/// How long job ids are kept for deduplication, in milliseconds from the submission time.
///
/// Older submissions are refused, so no older id needs to be kept.
pub const RETENTION_MS: u64 = 180_000;
