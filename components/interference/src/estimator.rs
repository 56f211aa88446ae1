//! Effects of kinds of task on each other, estimated at one host.

use model::{KindKey, PairEffect};

use crate::exposure::{Exposure, Exposures, Start};
use crate::regression::{
    COMMON, Coefficient, MAX_COEFFICIENTS, PRIOR_DEVIATION, Regression, Values,
};
use crate::slots::MAX_KINDS;

/// Most pairs in a summary; at about 12 bytes each they take less than 300 bytes.
const MAX_PAIRS: usize = 24;

/// Least information about a pair in a summary, as a multiple of that of the prior.
const MIN_INFORMATION: f64 = 0.25;

/// Bounds of the logarithm of measured over expected run time.
const LOG_RATIO_RANGE: (f64, f64) = (-2.0, 3.0);

/// Numbers of runs that are compared with each other: how slow the host is at a time follows from what
/// they have in common. Few runs tell little, and the host may change while many complete.
const MIN_BATCH: usize = 6;
const MAX_BATCH: usize = 32;

/// Times after which a batch is closed, in milliseconds: with enough runs, and in any case.
const BATCH_MS: u64 = 1_000;
const MAX_BATCH_MS: u64 = 4_000;

/// Weight of the slowness in the batch before, in runs.
const PREVIOUS_WEIGHT: f64 = 1.0;

/// A completed run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// Run time that was expected on a host of speed 1, in milliseconds.
    pub expected_ms: f64,
    /// Time that the run took, in milliseconds.
    pub measured_ms: f64,
    /// What the run was exposed to.
    pub exposure: Exposure,
}

/// A run that waits for its batch to close.
#[derive(Debug, Clone, Copy)]
struct Pending {
    slot: usize,
    inputs: Values,
    log_ratio: f64,
}

/// Estimates the effects of the kinds on one host from its completed runs.
#[derive(Debug, Clone)]
pub struct Estimator {
    regressions: Vec<Regression>,
    batch: Vec<Pending>,
    batch_opened_at_ms: u64,
    /// Logarithm of the slowness of the host in the last batch, apart from the effects of kinds.
    log_slowness: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            regressions: vec![Regression::default(); MAX_KINDS],
            batch: Vec::with_capacity(MAX_BATCH),
            batch_opened_at_ms: 0,
            log_slowness: 0.0,
        }
    }
}

impl Estimator {
    /// Adds a completed run.
    pub fn record(&mut self, now_ms: u64, exposures: &Exposures, start: &Start, run: &Measurement) {
        self.close_due_batch(now_ms, exposures);
        if self.batch.is_empty() {
            self.batch_opened_at_ms = now_ms;
        }
        let (least, most) = LOG_RATIO_RANGE;
        let log_ratio = (run.measured_ms.max(1.0) / run.expected_ms.max(1.0)).ln();
        self.batch.push(Pending {
            slot: start.slot(),
            inputs: inputs(&run.exposure),
            log_ratio: log_ratio.clamp(least, most),
        });
    }

    fn close_due_batch(&mut self, now_ms: u64, exposures: &Exposures) {
        let age_ms = now_ms.saturating_sub(self.batch_opened_at_ms);
        let runs = self.batch.len();
        let is_due = runs >= MAX_BATCH
            || runs >= MIN_BATCH && age_ms >= BATCH_MS
            || runs > 0 && age_ms >= MAX_BATCH_MS;
        if is_due {
            self.close_batch(now_ms, COMMON + exposures.slots.len());
        }
    }

    /// Adds the runs of the batch to the regressions, each less the slowness of the host that the others
    /// show.
    fn close_batch(&mut self, now_ms: u64, count: usize) {
        let batch = std::mem::take(&mut self.batch);
        let regressions = &self.regressions;
        let residual = |run: &Pending| run.log_ratio - regressions[run.slot].predict(&run.inputs);
        let residuals: Vec<f64> = batch.iter().map(residual).collect();
        let sum = residuals.iter().sum::<f64>() + PREVIOUS_WEIGHT * self.log_slowness;
        let weight = batch.len() as f64 + PREVIOUS_WEIGHT;
        for (run, residual) in batch.iter().zip(residuals) {
            let log_slowness = (sum - residual) / (weight - 1.0);
            let output = run.log_ratio - log_slowness;
            self.regressions[run.slot].add(now_ms, count, &run.inputs, output);
        }
        self.log_slowness = sum / weight;
    }

    /// Returns the memory that the estimates occupy, in bytes; it does not grow.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let batch_bytes = MAX_BATCH * size_of::<Pending>();
        size_of::<Self>() + MAX_KINDS * size_of::<Regression>() + batch_bytes
    }

    /// Forgets what is known of the kind that had a slot before.
    pub fn clear_slot(&mut self, slot: usize) {
        for regression in &mut self.regressions {
            regression.clear_slot(slot);
        }
        self.batch.retain(|run| run.slot != slot);
        for run in &mut self.batch {
            run.inputs[COMMON + slot] = 0.0;
        }
        self.regressions[slot] = Regression::default();
    }

    /// Returns the effects of the pairs about which most is known, at most 24.
    ///
    /// The choice does not depend on the effects, so that combining many hosts adds no bias.
    pub fn summary(&mut self, now_ms: u64, exposures: &Exposures) -> Vec<PairEffect> {
        self.close_due_batch(now_ms, exposures);
        let kinds = exposures.slots.len();
        let mut pairs: Vec<(f64, PairEffect)> = Vec::new();
        for slot in 0..kinds {
            let Some(of) = exposures.slots.kind(slot) else {
                continue;
            };
            let coefficients = self.regressions[slot].coefficients(now_ms, COMMON + kinds);
            for (by_slot, effect) in coefficients[COMMON..].iter().enumerate() {
                let information = PRIOR_DEVIATION * PRIOR_DEVIATION / effect.variance - 1.0;
                if let Some(by) = exposures.slots.kind(by_slot)
                    && information >= MIN_INFORMATION
                {
                    pairs.push((information, pair_effect(of, by, effect)));
                }
            }
        }
        pairs.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        pairs.truncate(MAX_PAIRS);
        pairs.into_iter().map(|(_, effect)| effect).collect()
    }
}

fn pair_effect(of: KindKey, by: KindKey, effect: &Coefficient) -> PairEffect {
    PairEffect {
        of,
        by,
        log_factor_permille: (effect.mean * 1_000.0).round() as i16,
        deviation_permille: (effect.variance.sqrt() * 1_000.0).round().max(1.0) as u16,
    }
}

fn inputs(exposure: &Exposure) -> Values {
    let mut inputs = [0.0; MAX_COEFFICIENTS];
    inputs[0] = 1.0;
    inputs[1] = exposure.used_share;
    inputs[2] = exposure.crowded_share;
    inputs[COMMON..].copy_from_slice(&exposure.beside);
    inputs
}
