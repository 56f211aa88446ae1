//! Pairs of kinds that an entry believes to slow each other down, from the summaries of its hosts.

use model::{KindKey, PairEffect};
use rustc_hash::FxHashMap;

pub use crate::regression::PRIOR_DEVIATION;

/// Most pairs that are believed at a time.
const MAX_BELIEVED: usize = 64;

/// Factor on run times that a pair must exceed to be believed, and the certainty, in standard
/// deviations. Smaller effects cost less than the errors of forecasts.
const BELIEVED_FACTOR: f64 = 1.15;
const BELIEVED_DEVIATIONS: f64 = 3.0;

/// Factor that a believed pair must exceed to be kept, and the certainty.
const KEPT_FACTOR: f64 = 1.05;
const KEPT_DEVIATIONS: f64 = 1.0;

/// Smallest standard deviation of what one host reports, in logarithms: hosts differ, and errors of the
/// model are common to all runs of a host.
const MIN_HOST_DEVIATION: f64 = 0.1;

/// A pair that is now believed, or no longer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Kind that takes longer.
    pub of: KindKey,
    /// Kind beside which it does.
    pub by: KindKey,
    /// Estimated factor on its run time.
    pub factor: f64,
    /// Whether the pair is believed now.
    pub is_believed: bool,
}

/// Sum of the evidence of several hosts on one pair.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    precision: f64,
    weighted_sum: f64,
}

/// The believed pairs, with the logarithm of the factor that placement counts.
#[derive(Debug, Clone, Default)]
pub struct Beliefs {
    log_factors: FxHashMap<(KindKey, KindKey), f64>,
}

impl Beliefs {
    /// Replaces the beliefs by those that follow from the current summaries of the hosts, and returns
    /// the pairs that are believed now or no longer.
    pub fn update<'a>(&mut self, summaries: impl Iterator<Item = &'a [PairEffect]>) -> Vec<Change> {
        let mut pairs: FxHashMap<(KindKey, KindKey), Evidence> = FxHashMap::default();
        for effect in summaries.flatten() {
            pairs.entry((effect.of, effect.by)).or_default().add(effect);
        }
        let mut changes = Vec::new();
        let before = std::mem::take(&mut self.log_factors);
        for ((of, by), evidence) in pairs {
            let (mean, deviation) = evidence.posterior();
            let was_believed = before.contains_key(&(of, by));
            let is_believed = is_believed(mean, deviation, was_believed)
                && (was_believed || before.len() + changes.len() < MAX_BELIEVED);
            if is_believed {
                self.log_factors.insert((of, by), mean - deviation);
            }
            if is_believed != was_believed {
                changes.push(Change {
                    of,
                    by,
                    factor: mean.exp(),
                    is_believed,
                });
            }
        }
        let dropped = before.keys().filter(|pair| !self.is_in(pair, &changes));
        let without_evidence: Vec<Change> = dropped
            .map(|&(of, by)| Change {
                of,
                by,
                factor: 1.0,
                is_believed: false,
            })
            .collect();
        changes.extend(without_evidence);
        changes
    }

    /// Returns the factor by which a task of kind `of` takes longer beside one of kind `by`; 1 unless
    /// the pair is believed.
    #[must_use]
    pub fn factor(&self, of: KindKey, by: KindKey) -> f64 {
        self.log_factors
            .get(&(of, by))
            .map_or(1.0, |log_factor| log_factor.exp())
    }

    /// Returns whether no pair is believed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.log_factors.is_empty()
    }

    /// Returns whether a kind is part of a believed pair.
    #[must_use]
    pub fn concerns(&self, kind: KindKey) -> bool {
        let mut pairs = self.log_factors.keys();
        pairs.any(|(of, by)| *of == kind || *by == kind)
    }

    /// Returns the believed pairs with their factors, as `(of, by, factor)`.
    pub fn pairs(&self) -> impl Iterator<Item = (KindKey, KindKey, f64)> {
        let pairs = self.log_factors.iter();
        pairs.map(|((of, by), log_factor)| (*of, *by, log_factor.exp()))
    }

    /// Returns whether a pair is believed, or among the changes.
    fn is_in(&self, pair: &(KindKey, KindKey), changes: &[Change]) -> bool {
        self.log_factors.contains_key(pair)
            || changes.iter().any(|change| (change.of, change.by) == *pair)
    }
}

impl Evidence {
    /// Adds the likelihood of one host's runs: its posterior without the prior.
    fn add(&mut self, effect: &PairEffect) {
        let mean = f64::from(effect.log_factor_permille) / 1_000.0;
        let deviation = f64::from(effect.deviation_permille.max(1)) / 1_000.0;
        let precision = 1.0 / (deviation * deviation);
        let likelihood_precision = precision - 1.0 / (PRIOR_DEVIATION * PRIOR_DEVIATION);
        if likelihood_precision <= 0.0 {
            return;
        }
        let likelihood_mean = mean * precision / likelihood_precision;
        let min_variance = MIN_HOST_DEVIATION * MIN_HOST_DEVIATION;
        let weight = 1.0 / (1.0 / likelihood_precision + min_variance);
        self.precision += weight;
        self.weighted_sum += weight * likelihood_mean;
    }

    /// Returns mean and standard deviation of the logarithm of the factor.
    fn posterior(&self) -> (f64, f64) {
        let precision = self.precision + 1.0 / (PRIOR_DEVIATION * PRIOR_DEVIATION);
        (self.weighted_sum / precision, precision.sqrt().recip())
    }
}

fn is_believed(mean: f64, deviation: f64, was_believed: bool) -> bool {
    if was_believed {
        return mean - KEPT_DEVIATIONS * deviation > KEPT_FACTOR.ln();
    }
    mean - BELIEVED_DEVIATIONS * deviation > BELIEVED_FACTOR.ln()
}
