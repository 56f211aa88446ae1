//! How many hosts an entry keeps connections to.
//!
//! Answers the pattern of a fleet that is too large for every entry to follow each host: the cost
//! of views grows with entries times hosts, while a few dozen hosts hold as good a place for a
//! task as all. An entry begins with a few hosts, takes more as soon as tasks find no safe place
//! among them, and lets go of them after quiet seconds. Each entry ranks the hosts in an order of
//! its own, so that entries spread over them.

use std::hash::Hasher;

use model::ProcessKey;
use rustc_hash::FxHasher;

/// Hosts that are followed at least. Twelve entries on 66 hosts then meet four others at a host,
/// and chance leaves one host in a hundred to none of them.
pub const FEWEST_HOSTS: usize = 24;

/// Unsafe placements, less a part of the safe ones, from which on more hosts are taken.
const GROW_AT: f64 = 3.0;

/// How much a safe placement counts against an unsafe one: one in ten may be unsafe.
const SAFE_WEIGHT: f64 = 0.1;

/// Part of the present size by which it grows, as a divisor.
const GROWTH_DIVISOR: usize = 3;

/// Shortest time between two steps of growth, in milliseconds: a connection, its first view and
/// some placements by it.
const GROW_PAUSE_MS: u64 = 100;

/// Time without unsafe placements to speak of after which the size shrinks, in milliseconds; a
/// burst and its echo are over.
const SHRINK_AFTER_MS: u64 = 5_000;

/// Time between two steps of shrinking, in milliseconds.
const SHRINK_PAUSE_MS: u64 = 1_000;

/// Part of the present size by which it shrinks, as a divisor.
const SHRINK_DIVISOR: usize = 8;

/// The number of hosts that an entry follows.
#[derive(Debug)]
pub(crate) struct Circle {
    fewest: usize,
    size: usize,
    pressure: f64,
    changed_at_ms: u64,
    pressed_at_ms: u64,
}

impl Circle {
    /// Creates a circle of `fewest` hosts at least.
    pub(crate) fn new(fewest: usize) -> Self {
        Self {
            fewest,
            size: fewest,
            pressure: 0.0,
            changed_at_ms: 0,
            pressed_at_ms: 0,
        }
    }

    /// Takes note of whether all tasks of a job found a safe place.
    pub(crate) fn note_placement(&mut self, is_safe: bool) {
        let change = if is_safe { -SAFE_WEIGHT } else { 1.0 };
        self.pressure = (self.pressure + change).clamp(0.0, 2.0 * GROW_AT);
    }

    /// Returns how many hosts to follow out of `known`.
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

/// Returns the weight of a host for an entry; an entry follows the hosts of the highest weights
/// (rendezvous hashing, Thaler and Ravishankar 1998).
pub(crate) fn weight(entry: ProcessKey, address: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(entry.0);
    hasher.write(address.as_bytes());
    let value = hasher.finish();
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^ (value >> 27)
}
