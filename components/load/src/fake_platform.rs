//! A platform that keeps shard records and answers at once while it is up.

use dispatch::SwapOutcome;
use model::{ShardKey, ShardRecord};
use rustc_hash::FxHashMap;

/// Records by shard, with revisions.
#[derive(Debug, Default)]
pub struct FakePlatform {
    records: FxHashMap<ShardKey, (u64, ShardRecord)>,
    revision: u64,
    /// Whether the platform answers nothing.
    pub is_down: bool,
    /// Calls made.
    pub calls: u64,
}

impl FakePlatform {
    /// Writes a record if its revision is the expected one.
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

    /// Returns a record with its revision.
    pub fn read(&mut self, shard: ShardKey) -> Option<(u64, ShardRecord)> {
        self.calls += 1;
        if self.is_down {
            return None;
        }
        self.records.get(&shard).cloned()
    }
}
