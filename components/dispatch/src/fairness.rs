//! Weighted fair sharing of agents among firms.

use std::collections::BTreeMap;

use model::{FirmKey, ShardKey};
use rustc_hash::FxHashMap;

use crate::rules::DispatchRules;
use crate::shard::Shard;

/// Returns the shards in the order in which they place tasks: the firms with the fewest tasks at
/// agents relative to their weight come first.
///
/// A free slot goes to the first shard with a waiting task. Firms with a backlog therefore
/// converge to their shares, and a firm below its share waits for at most one slot.
pub fn placement_order(shards: &BTreeMap<ShardKey, Shard>, rules: &DispatchRules) -> Vec<ShardKey> {
    let mut order: Vec<ShardKey> = shards.keys().copied().collect();
    if order.len() < 2 {
        return order;
    }
    let mut tasks_at_agents: FxHashMap<FirmKey, u64> = FxHashMap::default();
    for shard in shards.values() {
        *tasks_at_agents.entry(shard.firm()).or_default() += u64::from(shard.tasks_at_agents);
    }
    order.sort_by_key(|key| {
        let firm_usage = tasks_at_agents.get(&key.firm).copied().unwrap_or(0) * USAGE_SCALE;
        let shard_usage = shards.get(key).map_or(0, |shard| shard.tasks_at_agents);
        (firm_usage / weight(key.firm, rules), shard_usage)
    });
    order
}

/// Fixed-point scale of usage, to keep precision when it is divided by a weight.
const USAGE_SCALE: u64 = 1_024;

/// Returns the weight of a firm at shared targets; one by default.
pub fn weight(firm: FirmKey, rules: &DispatchRules) -> u64 {
    let shares = &rules.agent_rules.shares;
    let share = shares.iter().find(|share| share.firm == firm);
    share.map_or(1, |share| u64::from(share.weight.max(1)))
}
