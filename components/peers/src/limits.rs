//! Bounds and times of the exchange with peers.

/// Maximum number of addresses that a process keeps: the entries of the size aimed at in two years.
pub const MAX_PEERS: usize = 64;

/// Maximum number of addresses that a message names.
pub const MAX_NAMED_PEERS: usize = 32;

/// Maximum number of hosts in a reply.
pub const MAX_HOSTS_IN_REPLY: usize = 1_024;

/// Maximum number of calls to peers in flight. Three seeds without power, whose calls time out, must
/// leave room for calls to others.
pub const MAX_PARALLEL_CALLS: usize = 6;

/// Largest configuration that is taken from peers, in bytes: four times what the store accepts.
pub const MAX_CONFIGURATION_BYTES: usize = 4 * 1024 * 1024;

/// Largest part of a configuration in one message, in bytes: a link of 2 Mbit/s carries it within half
/// of the time limit of a call.
pub const MAX_PART_BYTES: usize = 32 * 1024;

/// Time after its last part in which an incomplete configuration may be continued, in milliseconds.
/// After that, an older revision is taken from peers that do not have this one.
pub const RESUMABLE_PERIOD_MS: u64 = 2_000;

/// Time after its start after which an entry asks peers if the store has not answered, in
/// milliseconds; the store usually answers within 4 ms.
pub const QUERY_DELAY_MS: u64 = 100;

/// Interval of calls while the store is unreachable and nothing is missing, in milliseconds.
pub const REFRESH_INTERVAL_MS: u64 = 1_000;

/// Initial pause after a peer did not have what is needed, or did not answer, in milliseconds.
pub(crate) const MIN_QUERY_PAUSE_MS: u64 = 50;

/// Longest pause after a peer did not have what is needed, or did not answer, in milliseconds; it
/// delays what a peer learns later.
pub(crate) const MAX_QUERY_PAUSE_MS: u64 = 500;

/// Time after its start within which an entry introduces itself to others, and asks several peers at a
/// time if no hosts that the store listed are known, in milliseconds: machines that lost power
/// together are back by then.
pub(crate) const STARTING_PERIOD_MS: u64 = 10_000;

/// Failures in a row after which a peer that is no seed is dropped; the pauses between them sum up
/// to more than [`OFFER_DURATION_MS`], in which a machine without power is back.
pub(crate) const MAX_FAILURES: u32 = 40;

/// Time after which an agent announces its host if its registration is not confirmed, in
/// milliseconds: a call to the store times out after 500 ms.
pub const ANNOUNCE_DELAY_MS: u64 = 600;

/// Time over which the first announcements of agents are spread, in milliseconds: all agents lose the
/// store at the same moment.
pub const ANNOUNCE_SPREAD_MS: u64 = 200;

/// Longest pause between announcements to an entry that does not answer, in milliseconds. The store
/// may be away for long: with pauses of 400 ms, 760 agents would open thousands of connections a
/// second to three seeds without power.
pub(crate) const MAX_SILENT_PAUSE_MS: u64 = 5_000;

/// Initial pause between two announcements to an entry that answers, in milliseconds.
pub(crate) const MIN_ANNOUNCE_PAUSE_MS: u64 = 1_000;

/// Longest pause between two announcements to an entry that answers, in milliseconds; an entry
/// forgets a host that is neither connected nor registered 60 s after its announcement.
pub(crate) const MAX_ANNOUNCE_PAUSE_MS: u64 = 20_000;

/// Time after the loss of a connection after which an agent offers its host to the entry, in
/// milliseconds. An entry that lives reconnects within 250 ms, the time in which its runs stay.
pub const OFFER_DELAY_MS: u64 = 400;

/// Time after the loss of a connection until which an agent offers its host, in milliseconds.
pub const OFFER_DURATION_MS: u64 = 10_000;

/// Initial pause between calls to an entry that does not answer an agent, in milliseconds.
pub(crate) const MIN_OFFER_PAUSE_MS: u64 = 50;

/// Longest pause between offers to an entry that does not answer, in milliseconds; it delays the
/// service of an entry that restarts while all seeds are down.
pub(crate) const MAX_OFFER_PAUSE_MS: u64 = 400;
