//! Order in which the shards of an entry may place tasks.

use std::collections::BTreeMap;

use model::{FirmKey, ShardKey};
use rustc_hash::FxHashMap;

use crate::rules::DispatchRules;
use crate::shard::Shard;

/// Lists the shards, those of firms with the least work at agents for their weight first.
///
/// A slot that has become free goes to the first shard with a waiting task, so firms with
/// a backlog approach their shares, and a firm below its share waits for one slot at most.
pub fn placing_order(shards: &BTreeMap<ShardKey, Shard>, rules: &DispatchRules) -> Vec<ShardKey> {
    let mut order: Vec<ShardKey> = shards.keys().copied().collect();
    if order.len() < 2 {
        return order;
    }
    let mut in_progress: FxHashMap<FirmKey, u64> = FxHashMap::default();
    for shard in shards.values() {
        *in_progress.entry(shard.firm()).or_default() += u64::from(shard.in_progress);
    }
    order.sort_by_key(|key| {
        let firm_usage = in_progress.get(&key.firm).copied().unwrap_or(0) * USAGE_SCALE;
        let shard_usage = shards.get(key).map_or(0, |shard| shard.in_progress);
        (firm_usage / weight(key.firm, rules), shard_usage)
    });
    order
}

/// Keeps precision when usage is divided by a weight.
const USAGE_SCALE: u64 = 1_024;

/// Returns the weight of a firm at shared targets.
pub fn weight(firm: FirmKey, rules: &DispatchRules) -> u64 {
    let shares = &rules.agent_rules.shares;
    let share = shares.iter().find(|share| share.firm == firm);
    share.map_or(1, |share| u64::from(share.weight.max(1)))
}
