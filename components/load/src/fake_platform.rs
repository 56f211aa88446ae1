//! Fake platform that stores shard records and answers immediately unless it is down.

use dispatch::SwapOutcome;
use model::{ShardKey, ShardRecord};
use rustc_hash::FxHashMap;

/// Shard records with their revisions.
#[derive(Debug, Default)]
pub struct FakePlatform {
    records: FxHashMap<ShardKey, (u64, ShardRecord)>,
    revision: u64,
    /// Whether the platform is down and every call fails.
    pub is_down: bool,
    /// Number of calls received.
    pub calls: u64,
}

impl FakePlatform {
    /// Writes a record if the stored revision equals the expected one.
    pub fn swap(&mut self, expected_revision: u64, record: ShardRecord) -> SwapOutcome {
        self.calls += 1;
        if self.is_down {
            return SwapOutcome::NotApplied;
        }
        let present = self.records.get(&record.shard).map_or(0, |(at, _)| *at);
        if present != expected_revision {
            return SwapOutcome::Conflict;
        }
        self.revision += 1;
        self.records.insert(record.shard, (self.revision, record));
        SwapOutcome::Done(self.revision)
    }

    /// Returns a record with its revision, or `None` if it is missing or the platform is down.
    pub fn read(&mut self, shard: ShardKey) -> Option<(u64, ShardRecord)> {
        self.calls += 1;
        if self.is_down {
            return None;
        }
        self.records.get(&shard).cloned()
    }
}
