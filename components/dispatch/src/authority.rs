//! Majority lease on a shard, renewed by acknowledged heartbeats.

use model::{AUTHORITY_TTL_MS, MemberState};

use crate::roster::MemberView;

const AUTHORITY_TTL_US: u64 = AUTHORITY_TTL_MS * 1_000;

/// Returns the end of the lease, in microseconds on the owner's clock.
///
/// The lease lasts [`AUTHORITY_TTL_MS`] from the latest time such that a majority of the active
/// members has acknowledged a heartbeat sent at that time or later. Returns zero if there is no
/// active member or no such majority.
pub fn authority_until_us<'a>(members: impl Iterator<Item = &'a MemberView>) -> u64 {
    let mut sent: Vec<u64> = members
        .filter(|member| member.state == MemberState::Active)
        .map(|member| member.acked_sent_us)
        .collect();
    if sent.is_empty() {
        return 0;
    }
    let needed = sent.len() / 2 + 1;
    let (_, oldest_needed, _) = sent.select_nth_unstable_by(needed - 1, |a, b| b.cmp(a));
    match *oldest_needed {
        0 => 0,
        sent_us => sent_us + AUTHORITY_TTL_US,
    }
}
