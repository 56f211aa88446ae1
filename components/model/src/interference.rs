//! What agents report about kinds of task that slow each other down.

use serde::{Deserialize, Serialize};

use crate::KindKey;

/// Kinds of task on a host, and their effects on each other.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbors {
    /// The runs by kind.
    #[serde(rename = "r")]
    pub runs: Vec<KindRuns>,
    /// Estimated effects; empty in most views, since they change slowly.
    #[serde(rename = "e")]
    pub effects: Vec<PairEffect>,
}

/// Runs of one kind on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindRuns {
    /// The kind.
    #[serde(rename = "k")]
    pub kind: KindKey,
    /// Number of runs at the target and waiting.
    #[serde(rename = "c")]
    pub count: u16,
    /// Mean number of runs at the target over about the last second, in hundredths.
    #[serde(rename = "r")]
    pub recent_percent: u16,
}

/// Estimated effect of runs of one kind on the run time of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairEffect {
    /// Kind that takes longer.
    #[serde(rename = "o")]
    pub of: KindKey,
    /// Kind beside which it does.
    #[serde(rename = "b")]
    pub by: KindKey,
    /// Logarithm of the factor on the run time, in thousandths.
    #[serde(rename = "f")]
    pub log_factor_permille: i16,
    /// Standard deviation of that logarithm, in thousandths.
    #[serde(rename = "d")]
    pub deviation_permille: u16,
}

/// Adds runs of a kind to the numbers of runs by kind.
pub fn count_runs(runs: &mut Vec<KindRuns>, kind: KindKey, count: u16) {
    match runs.iter_mut().find(|at| at.kind == kind) {
        Some(at) => at.count = at.count.saturating_add(count),
        None => runs.push(KindRuns {
            kind,
            count,
            recent_percent: 0,
        }),
    }
}
