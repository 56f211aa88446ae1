//! Dispatch rules of the entries in experiments.

use dispatch::{DispatchRules, FirmRules, GroupRules};
use model::{FirmShare, GroupKey, Rules};

/// Quota and queue limit of a firm, in tasks; high enough that no run reaches them.
const UNLIMITED_TASKS: u32 = 10_000_000;

/// Returns rules without quotas for firms that share one group of targets.
pub fn rules(shares: &[FirmShare], group: GroupKey, shard_count: u16) -> DispatchRules {
    let firm_rules = |share: &FirmShare| FirmRules {
        firm: share.firm,
        shard_count,
        quota_tasks: UNLIMITED_TASKS,
        max_queue_tasks: UNLIMITED_TASKS,
        rate_tasks_per_s: None,
        burst_tasks: 0,
    };
    DispatchRules {
        revision: 1,
        firms: shares.iter().map(firm_rules).collect(),
        groups: vec![GroupRules {
            group,
            firms: shares.iter().map(|share| share.firm).collect(),
            max_attempts: 3,
            max_eject_percent: 30,
        }],
        agent_rules: Rules {
            revision: 1,
            shares: shares.to_vec(),
        },
    }
}
