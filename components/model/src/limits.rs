//! Time bounds on which the safety argument rests; see `docs/DESIGN.md`.

/// Interval between heartbeats of an owner to each of its agents, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// Interval between heartbeats to an agent that holds no task and is waited for by none, in
/// milliseconds.
///
/// Twice within the life of the evidence, so that one lost heartbeat does not end it, and
/// before an agent repeats an outcome whose acknowledgement waits for the heartbeat.
pub const IDLE_HEARTBEAT_INTERVAL_MS: u64 = 400;

/// How long an acknowledged heartbeat counts as evidence of ownership, in milliseconds
/// from the moment it was sent.
pub const AUTHORITY_TTL_MS: u64 = 1_000;

/// How long an agent honours a permit, in milliseconds on the agent's clock.
pub const PERMIT_TTL_MS: u64 = 1_000;

/// Largest tolerated difference between the wall clocks of two entries, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 250;

/// Time after a fence within which the previous owner may still have acted, in milliseconds.
///
/// Covers the previous owner's authority, the permits it may hold, and the skew of
/// the clocks of the previous and the new owner.
pub const TAKEOVER_HORIZON_MS: u64 = AUTHORITY_TTL_MS + PERMIT_TTL_MS + 2 * CLOCK_SKEW_MS;

/// How long after its submission time a job id is remembered, in milliseconds.
///
/// An id that is older is refused, so nothing older needs to be remembered.
pub const RETENTION_MS: u64 = 180_000;
