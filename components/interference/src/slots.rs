//! Small numbers for the kinds that an agent keeps.

use model::KindKey;

/// Most kinds that an agent keeps. A host runs tasks of a few customers with three kinds each; the
/// cost of an update grows with the square of this number.
pub const MAX_KINDS: usize = 16;

/// Time after its last run for which a kind keeps its slot, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// A kind in its slot.
#[derive(Debug, Clone, Copy)]
struct Occupant {
    kind: KindKey,
    used_at_ms: u64,
}

/// Assignment of kinds to slots.
#[derive(Debug, Default, Clone)]
pub(crate) struct Slots {
    occupants: Vec<Occupant>,
}

/// Slot of a kind, and whether it belonged to another kind before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Assigned {
    pub(crate) slot: usize,
    pub(crate) is_reassigned: bool,
}

impl Slots {
    /// Returns the slot of a kind, which takes that of the kind unused for longest if all are taken;
    /// `None` if all kinds are in use.
    pub(crate) fn assign(&mut self, now_ms: u64, kind: KindKey) -> Option<Assigned> {
        let at = |slot| Assigned {
            slot,
            is_reassigned: false,
        };
        if let Some(slot) = self.find(kind) {
            self.occupants[slot].used_at_ms = now_ms;
            return Some(at(slot));
        }
        let occupant = Occupant {
            kind,
            used_at_ms: now_ms,
        };
        if self.occupants.len() < MAX_KINDS {
            self.occupants.push(occupant);
            return Some(at(self.occupants.len() - 1));
        }
        let oldest = (0..MAX_KINDS).min_by_key(|slot| self.occupants[*slot].used_at_ms)?;
        if now_ms < self.occupants[oldest].used_at_ms + RETENTION_MS {
            return None;
        }
        self.occupants[oldest] = occupant;
        Some(Assigned {
            slot: oldest,
            is_reassigned: true,
        })
    }

    /// Returns the slot of a kind, if it has one.
    pub(crate) fn find(&self, kind: KindKey) -> Option<usize> {
        self.occupants.iter().position(|at| at.kind == kind)
    }

    /// Returns the kind in a slot.
    pub(crate) fn kind(&self, slot: usize) -> Option<KindKey> {
        self.occupants.get(slot).map(|at| at.kind)
    }

    /// Returns the number of slots in use.
    pub(crate) fn len(&self) -> usize {
        self.occupants.len()
    }
}
