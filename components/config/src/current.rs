//! The configuration that a process has in force.

use serde::{Deserialize, Serialize};

use crate::published::Published;

/// Holds the configuration in force; its revision never goes back.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Current {
    snapshot: Option<Snapshot>,
}

/// A configuration as one process hands it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the platform's value.
    pub revision: u64,
    /// When a process last read this revision from the platform.
    pub learned_unix_ms: u64,
    /// The value.
    pub published: Published,
}

/// What became of a configuration offered to [`Current`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[must_use]
pub enum ApplyOutcome {
    /// The configuration is now in force.
    Applied,
    /// The configuration in force is as new, or newer.
    Stale,
}

impl Current {
    /// Builds a holder without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a value in force that was read from the platform at `learned_unix_ms`.
    pub fn apply(
        &mut self,
        revision: u64,
        published: Published,
        learned_unix_ms: u64,
    ) -> ApplyOutcome {
        self.apply_snapshot(Snapshot {
            revision,
            learned_unix_ms,
            published,
        })
    }

    /// Puts in force what another process has in force.
    ///
    /// The same revision, read later from the platform, only renews the time of learning.
    pub fn apply_snapshot(&mut self, offered: Snapshot) -> ApplyOutcome {
        match &mut self.snapshot {
            Some(held) if held.revision > offered.revision => ApplyOutcome::Stale,
            Some(held) if held.revision == offered.revision => {
                held.learned_unix_ms = held.learned_unix_ms.max(offered.learned_unix_ms);
                ApplyOutcome::Stale
            }
            _ => {
                self.snapshot = Some(offered);
                ApplyOutcome::Applied
            }
        }
    }

    /// Returns what is in force, to hand it to another process.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the value in force.
    #[must_use]
    pub fn published(&self) -> Option<&Published> {
        self.snapshot.as_ref().map(|snapshot| &snapshot.published)
    }

    /// Returns the revision in force, or zero.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.revision)
    }

    /// Returns the time since the revision in force was last read from the platform.
    #[must_use]
    pub fn age_ms(&self, now_unix_ms: u64) -> Option<u64> {
        let snapshot = self.snapshot.as_ref()?;
        Some(now_unix_ms.saturating_sub(snapshot.learned_unix_ms))
    }
}
