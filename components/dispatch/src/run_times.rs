//! Estimates run times per kind of task and the relative slowness of agents.

use model::{FirmKey, GroupKey, KindKey};
use rustc_hash::FxHashMap;

use crate::agents::AgentView;

/// Weight of one run in the exponential moving average of a kind's run time; the first runs weigh
/// more.
const KIND_WEIGHT: f64 = 0.05;

/// Weight of one run in the exponential moving average of an agent's slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// Bounds of an agent's slowness, so that one outlier does not take an agent out of use.
const SLOWNESS_RANGE: (f64, f64) = (0.05, 20.0);

/// Run time assumed when none was declared or observed, in microseconds.
const DEFAULT_RUN_US: f64 = 300_000.0;

/// Runs after which the observed mean of a kind replaces declared run times.
const TRUSTED_RUNS: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct KindScope {
    firm: FirmKey,
    group: GroupKey,
    kind: KindKey,
}

#[derive(Debug, Clone, Copy)]
struct KindStats {
    runs: u32,
    mean_us: f64,
}

/// Mean run times per firm, group and kind, on an agent with slowness 1.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: FxHashMap<KindScope, KindStats>,
}

/// Maximum number of kinds, to bound memory: callers choose the names of kinds.
const MAX_KINDS: usize = 10_000;

impl RunTimes {
    /// Updates the mean of a kind and the slowness of an agent with one run.
    pub fn observe(
        &mut self,
        firm: FirmKey,
        group: GroupKey,
        kind: KindKey,
        agent: &mut AgentView,
        ran_us: u64,
    ) {
        let ran_us = ran_us.max(1) as f64;
        let key = KindScope { firm, group, kind };
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&key) {
            return;
        }
        let normal_us = ran_us / agent.slowness;
        let stats = self.kinds.entry(key).or_insert(KindStats {
            runs: 0,
            mean_us: normal_us,
        });
        stats.runs = stats.runs.saturating_add(1);
        let weight = KIND_WEIGHT.max(1.0 / f64::from(stats.runs));
        stats.mean_us += weight * (normal_us - stats.mean_us);
        let ratio = ran_us / stats.mean_us.max(1.0);
        agent.slowness += SLOWNESS_WEIGHT * (ratio - agent.slowness);
        agent.slowness = agent.slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
    }

    /// Returns the expected run time on an agent with slowness 1, in microseconds.
    pub fn expected_us(
        &self,
        firm: FirmKey,
        group: GroupKey,
        kind: KindKey,
        declared_us: u64,
    ) -> f64 {
        let stats = self.kinds.get(&KindScope { firm, group, kind });
        match stats {
            Some(stats) if stats.runs >= TRUSTED_RUNS => stats.mean_us,
            _ if declared_us > 0 => declared_us as f64,
            Some(stats) => stats.mean_us,
            None => DEFAULT_RUN_US,
        }
    }
}
