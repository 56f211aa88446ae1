//! Quarantines of queues whose tasks crash targets, as entries and agents pass them on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::QueueKey;

/// Longest time for which a quarantine is valid without a further crash, in milliseconds: several
/// times as long as a target is away.
pub const QUARANTINE_MS: u64 = 10_000;

/// Most quarantines that a process keeps and passes on.
const MAX_QUARANTINES: usize = 64;

/// The quarantine of a queue in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueQuarantine {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// Time until the quarantine is over, in milliseconds.
    #[serde(rename = "r")]
    pub remaining_ms: u32,
}

/// The quarantines that a process knows; times are on its own monotonic clock.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Quarantines {
    ends_at_ms: BTreeMap<QueueKey, u64>,
}

impl Quarantines {
    /// Begins or prolongs the quarantine of a queue; returns whether it begins.
    pub fn begin(&mut self, now_ms: u64, queue: QueueKey) -> bool {
        self.extend_to(queue, now_ms + QUARANTINE_MS)
    }

    /// Prolongs the quarantine of a queue, if it is in quarantine.
    pub fn prolong(&mut self, now_ms: u64, queue: QueueKey) {
        if self.contains(now_ms, queue) {
            self.begin(now_ms, queue);
        }
    }

    /// Adds the quarantines that another process knows; returns the queues whose quarantine begins.
    pub fn merge(&mut self, now_ms: u64, known: &[QueueQuarantine]) -> Vec<QueueKey> {
        let mut begun = Vec::new();
        for quarantine in known.iter().take(MAX_QUARANTINES) {
            let remaining_ms = u64::from(quarantine.remaining_ms).min(QUARANTINE_MS);
            if self.extend_to(quarantine.queue, now_ms + remaining_ms) {
                begun.push(quarantine.queue);
            }
        }
        begun
    }

    /// Returns the quarantines to pass on.
    #[must_use]
    pub fn known(&self, now_ms: u64) -> Vec<QueueQuarantine> {
        let remaining = self
            .ends_at_ms
            .iter()
            .map(|(queue, end_ms)| QueueQuarantine {
                queue: *queue,
                remaining_ms: end_ms.saturating_sub(now_ms) as u32,
            });
        remaining.filter(|at| at.remaining_ms > 0).collect()
    }

    /// Removes the quarantines that are over, and returns their queues.
    pub fn take_ended(&mut self, now_ms: u64) -> Vec<QueueKey> {
        let is_over = |end_ms: &u64| *end_ms <= now_ms;
        let ended = self.ends_at_ms.iter().filter(|(_, end_ms)| is_over(end_ms));
        let ended: Vec<QueueKey> = ended.map(|(queue, _)| *queue).collect();
        self.ends_at_ms.retain(|_, end_ms| !is_over(end_ms));
        ended
    }

    /// Returns whether a queue is in quarantine.
    #[must_use]
    pub fn contains(&self, now_ms: u64, queue: QueueKey) -> bool {
        let end_ms = self.ends_at_ms.get(&queue);
        end_ms.is_some_and(|end_ms| now_ms < *end_ms)
    }

    /// Returns whether no queue is in quarantine.
    #[must_use]
    pub fn is_empty(&self, now_ms: u64) -> bool {
        self.ends_at_ms.values().all(|end_ms| *end_ms <= now_ms)
    }

    /// Keeps the later of the known and the given end; returns whether the queue is new.
    fn extend_to(&mut self, queue: QueueKey, end_ms: u64) -> bool {
        let is_new = !self.ends_at_ms.contains_key(&queue);
        if is_new && self.ends_at_ms.len() >= MAX_QUARANTINES {
            return false;
        }
        let known_ms = self.ends_at_ms.entry(queue).or_insert(end_ms);
        *known_ms = end_ms.max(*known_ms);
        is_new
    }
}
