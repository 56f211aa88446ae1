//! Simulation of the platform's key-value service.

use std::collections::BTreeMap;

use dispatch::{DispatchRules, FirmRules, GroupRules, SwapOutcome};
use model::{FirmKey, FirmShare, GroupKey, Rules, ShardKey, ShardRecord};

use crate::world::message::Snapshot;

/// Number of shards of each firm.
const SHARD_COUNT: u16 = 2;

/// Stored values with revisions, changed by compare-and-swap.
#[derive(Debug, Default)]
pub struct Platform {
    pub records: BTreeMap<ShardKey, (ShardRecord, u64)>,
    revision: u64,
    pub config_revision: u64,
    pub config_digest: u64,
    pub is_down: bool,
    pub is_slow: bool,
    pub is_losing_answers: bool,
    /// Whether the firms' rate limits are so low that jobs are refused.
    has_tight_rates: bool,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(has_tight_rates: bool) -> Self {
        Self {
            has_tight_rates,
            ..Self::default()
        }
    }

    /// Writes a record if its revision is still the expected one.
    pub fn swap(&mut self, record: ShardRecord, expected_revision: u64) -> SwapOutcome {
        let shard = record.shard;
        let revision = self
            .records
            .get(&shard)
            .map_or(0, |(_, revision)| *revision);
        if revision != expected_revision {
            return SwapOutcome::Conflict;
        }
        self.revision += 1;
        self.records.insert(shard, (record, self.revision));
        SwapOutcome::Done(self.revision)
    }

    /// Writes the configuration if its revision is still the expected one.
    pub fn publish(&mut self, expected_revision: u64, value_digest: u64) -> Option<u64> {
        if self.config_revision != expected_revision {
            return None;
        }
        self.config_revision += 1;
        self.config_digest = value_digest;
        Some(self.config_revision)
    }

    /// Returns all records and the rules.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            records: self.records.values().cloned().collect(),
            rules: self.rules(),
            is_complete: true,
        }
    }

    /// Returns the rules, or `None` before the first configuration.
    pub fn rules(&self) -> Option<DispatchRules> {
        (self.config_revision > 0).then(|| rules(self.config_revision, self.has_tight_rates))
    }
}

/// Returns the keys of the two firms.
pub fn firms() -> [FirmKey; 2] {
    [
        FirmKey::from_name("vembanad"),
        FirmKey::from_name("consorcio"),
    ]
}

/// Returns the group that all targets belong to.
pub fn group() -> GroupKey {
    GroupKey::from_name("planner")
}

fn rules(revision: u64, has_tight_rates: bool) -> DispatchRules {
    let firm_rules = |firm| FirmRules {
        firm,
        shard_count: SHARD_COUNT,
        quota_tasks: 64,
        max_queue_tasks: 400,
        rate_tasks_per_s: has_tight_rates.then_some(8.0),
        burst_tasks: if has_tight_rates { 8 } else { 100 },
    };
    let share = |firm| FirmShare {
        firm,
        weight: 1 + (revision % 3) as u32,
    };
    DispatchRules {
        revision,
        firms: firms().map(firm_rules).to_vec(),
        groups: vec![GroupRules {
            group: group(),
            firms: firms().to_vec(),
            max_attempts: 5,
            max_eject_percent: 30,
        }],
        agent_rules: Rules {
            revision,
            shares: firms().map(share).to_vec(),
        },
    }
}
