//! Size of the subset of hosts that an entry connects to.
//!
//! For fleets that are too large for every entry to connect to every host: the cost of host views
//! grows with entries times hosts, while a few dozen hosts offer as good a placement as all of
//! them. An entry starts with a small subset, enlarges it when tasks find no safe placement, and
//! shrinks it after some seconds without such placements. Each entry ranks the hosts by
//! rendezvous hashing with its own key, so that the subsets spread over the fleet.

use std::hash::Hasher;

use model::ProcessKey;
use rustc_hash::FxHasher;

/// Default minimum size of the subset. With twelve entries and 66 hosts, an entry then shares a
/// host with four others on average, and about one host in a hundred is in no subset.
pub const FEWEST_HOSTS: usize = 24;

/// Pressure from which on the subset grows: the number of unsafe placements, less
/// `SAFE_WEIGHT` for each safe one.
const GROW_AT: f64 = 3.0;

/// Weight of a safe placement relative to an unsafe one; tolerates one unsafe placement in ten.
const SAFE_WEIGHT: f64 = 0.1;

/// Divisor of the current size that gives the size of a growth step.
const GROWTH_DIVISOR: usize = 3;

/// Minimum time between a change of size and a growth step, in milliseconds; long enough to
/// connect, receive the first view and make some placements with it.
const GROW_PAUSE_MS: u64 = 100;

/// Time since the pressure last reached `GROW_AT` after which the subset shrinks, in
/// milliseconds; by then a burst and the retries that it causes are over.
const SHRINK_AFTER_MS: u64 = 5_000;

/// Minimum time between a change of size and a shrink step, in milliseconds.
const SHRINK_PAUSE_MS: u64 = 1_000;

/// Divisor of the current size that gives the size of a shrink step.
const SHRINK_DIVISOR: usize = 8;

/// Target number of usable hosts that an entry is connected to.
#[derive(Debug)]
pub(crate) struct Circle {
    fewest: usize,
    size: usize,
    pressure: f64,
    changed_at_ms: u64,
    pressed_at_ms: u64,
}

impl Circle {
    /// Creates a subset size that starts at its minimum.
    pub(crate) fn new(fewest: usize) -> Self {
        Self {
            fewest,
            size: fewest,
            pressure: 0.0,
            changed_at_ms: 0,
            pressed_at_ms: 0,
        }
    }

    /// Records whether all tasks of a job found a safe placement.
    pub(crate) fn note_placement(&mut self, is_safe: bool) {
        let change = if is_safe { -SAFE_WEIGHT } else { 1.0 };
        self.pressure = (self.pressure + change).clamp(0.0, 2.0 * GROW_AT);
    }

    /// Adjusts the size and returns it; `known` is the number of known hosts.
    pub(crate) fn size(&mut self, now_ms: u64, known: usize) -> usize {
        let since_change_ms = now_ms.saturating_sub(self.changed_at_ms);
        if self.pressure >= GROW_AT {
            self.pressed_at_ms = now_ms;
            if since_change_ms >= GROW_PAUSE_MS {
                self.change(now_ms, self.size + self.size / GROWTH_DIVISOR + 1);
            }
        } else if now_ms >= self.pressed_at_ms + SHRINK_AFTER_MS
            && since_change_ms >= SHRINK_PAUSE_MS
        {
            self.change(now_ms, self.size - self.size / SHRINK_DIVISOR);
        }
        self.size = self.size.min(known.max(self.fewest));
        self.size
    }

    fn change(&mut self, now_ms: u64, size: usize) {
        self.pressure = 0.0;
        self.changed_at_ms = now_ms;
        self.size = size.max(self.fewest);
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
