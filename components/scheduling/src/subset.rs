//! Size of the subset of hosts that an entry connects to.
//!
//! In a large fleet, an entry does not connect to every host: the cost of host views grows with
//! entries times hosts, while a few dozen hosts offer as good a placement as all of them. An entry
//! starts with a small subset, enlarges it when tasks find no safe placement among few suitable hosts,
//! and shrinks it after some seconds without such placements. Each entry ranks the hosts by rendezvous hashing with its
//! own key, so that the subsets spread over the fleet.

use std::hash::Hasher;

use model::ProcessKey;
use rustc_hash::FxHasher;

/// Default minimum size of the subset. With twelve entries and 66 hosts, an entry shares a host
/// with four others on average, and about one host in a hundred is in no subset.
pub const MIN_CONNECTED_HOSTS: usize = 24;

/// Number of usable hosts that suit a job from which on its unsafe placements do not enlarge the
/// subset. When a whole fleet is busy, larger subsets serve hardly more jobs and double the messages
/// a task.
const MAX_SUITABLE_HOSTS: usize = 32;

/// Pressure from which on the subset grows: the number of unsafe placements, less
/// `SAFE_WEIGHT` for each safe one.
const GROWTH_PRESSURE: f64 = 3.0;

/// Weight of a safe placement relative to an unsafe one; tolerates one unsafe placement in ten.
const SAFE_WEIGHT: f64 = 0.1;

/// Divisor of the current size that gives the size of a growth step.
const GROWTH_DIVISOR: usize = 3;

/// Minimum time between a change of size and a growth step, in milliseconds; long enough to
/// connect, receive the first view and make some placements with it.
const GROWTH_INTERVAL_MS: u64 = 100;

/// Time since the pressure last reached `GROWTH_PRESSURE` after which the subset shrinks, in
/// milliseconds; by then a burst and the retries that it causes are over.
const SHRINK_DELAY_MS: u64 = 5_000;

/// Minimum time between a change of size and a shrink step, in milliseconds.
const SHRINK_INTERVAL_MS: u64 = 1_000;

/// Divisor of the current size that gives the size of a shrink step.
const SHRINK_DIVISOR: usize = 8;

/// Target number of usable hosts that an entry is connected to.
#[derive(Debug)]
pub(crate) struct SubsetSize {
    min_size: usize,
    size: usize,
    pressure: f64,
    changed_at_ms: u64,
    last_pressure_at_ms: u64,
}

impl SubsetSize {
    /// Creates a subset size that starts at its minimum.
    pub(crate) fn new(min_size: usize) -> Self {
        Self {
            min_size,
            size: min_size,
            pressure: 0.0,
            changed_at_ms: 0,
            last_pressure_at_ms: 0,
        }
    }

    /// Records whether all tasks of a job found a safe placement, and how many of the connected
    /// hosts suit the job.
    ///
    /// An unsafe placement among enough hosts does not count: they are a sample of the fleet, so
    /// that others are as busy.
    pub(crate) fn record_placement(&mut self, is_safe: bool, suitable_hosts: usize) {
        if !is_safe && suitable_hosts >= MAX_SUITABLE_HOSTS {
            return;
        }
        let pressure_change = if is_safe { -SAFE_WEIGHT } else { 1.0 };
        self.pressure = (self.pressure + pressure_change).clamp(0.0, 2.0 * GROWTH_PRESSURE);
    }

    /// Adjusts the size and returns it; `known` is the number of known hosts
    /// that are not evacuated.
    pub(crate) fn update(&mut self, now_ms: u64, known: usize) -> usize {
        let since_change_ms = now_ms.saturating_sub(self.changed_at_ms);
        if self.pressure >= GROWTH_PRESSURE {
            self.last_pressure_at_ms = now_ms;
            if since_change_ms >= GROWTH_INTERVAL_MS {
                self.resize(now_ms, self.size + self.size / GROWTH_DIVISOR + 1);
            }
        } else if now_ms >= self.last_pressure_at_ms + SHRINK_DELAY_MS
            && since_change_ms >= SHRINK_INTERVAL_MS
        {
            self.resize(now_ms, self.size - self.size / SHRINK_DIVISOR);
        }
        self.size = self.size.min(known.max(self.min_size));
        self.size
    }

    fn resize(&mut self, now_ms: u64, size: usize) {
        self.pressure = 0.0;
        self.changed_at_ms = now_ms;
        self.size = size.max(self.min_size);
    }
}

/// Returns the weight of a host for an entry; an entry connects to the hosts with the highest
/// weights (rendezvous hashing, Thaler and Ravishankar 1998).
pub(crate) fn weight(entry: ProcessKey, address: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(entry.0);
    hasher.write(address.as_bytes());
    let value = hasher.finish();
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^ (value >> 27)
}
