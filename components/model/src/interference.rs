//! What agents report about kinds of task that slow each other down.

use serde::{Deserialize, Serialize};

use crate::KindKey;

/// Kinds of task on a host, and their effects on each other.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbors {
    /// Number of runs by kind, at the target and waiting.
    pub runs: Vec<(KindKey, u16)>,
    /// Estimated effects; empty in most views, since they change slowly.
    pub effects: Vec<PairEffect>,
}

/// Estimated effect of runs of one kind on the run time of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairEffect {
    /// Kind that takes longer.
    pub of: KindKey,
    /// Kind beside which it does.
    pub by: KindKey,
    /// Logarithm of the factor on the run time, in thousandths.
    pub log_factor_permille: i16,
    /// Standard deviation of that logarithm, in thousandths.
    pub deviation_permille: u16,
}

/// Adds runs of a kind to the numbers of runs by kind.
pub fn count_runs(runs: &mut Vec<(KindKey, u16)>, kind: KindKey, count: u16) {
    match runs.iter_mut().find(|(at, _)| *at == kind) {
        Some((_, total)) => *total = total.saturating_add(count),
        None => runs.push((kind, count)),
    }
}
