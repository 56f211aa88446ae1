//! The configuration that is in force in this process.

use serde::{Deserialize, Serialize};

use crate::published::Published;

/// The configuration in force, if any. Its revision never decreases.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Current {
    snapshot: Option<Snapshot>,
}

/// A configuration with its revision, in the form that processes exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the value in the platform's key-value store.
    pub revision: u64,
    /// Latest known time at which a process read this revision from the platform.
    pub learned_unix_ms: u64,
    /// The published configuration.
    pub published: Published,
}

/// The result of applying a configuration to [`Current`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[must_use]
pub enum ApplyOutcome {
    /// The configuration is now in force.
    Applied,
    /// The configuration in force has the same revision or a newer one.
    Stale,
}

impl Current {
    /// Creates a value without a configuration in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a configuration in force that was read from the platform at `learned_unix_ms`, unless
    /// it is stale.
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

    /// Puts in force a configuration received from another process, unless it is stale.
    ///
    /// If the revision is the same, keeps the later of the two times at which it was read from the
    /// platform.
    pub fn apply_snapshot(&mut self, offered: Snapshot) -> ApplyOutcome {
        match &mut self.snapshot {
            Some(active) if active.revision > offered.revision => ApplyOutcome::Stale,
            Some(active) if active.revision == offered.revision => {
                active.learned_unix_ms = active.learned_unix_ms.max(offered.learned_unix_ms);
                ApplyOutcome::Stale
            }
            _ => {
                self.snapshot = Some(offered);
                ApplyOutcome::Applied
            }
        }
    }

    /// Returns the configuration in force with its revision, to send it to another process.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn published(&self) -> Option<&Published> {
        self.snapshot.as_ref().map(|snapshot| &snapshot.published)
    }

    /// Returns the revision in force, or zero if there is no configuration.
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
