//! Effects of kinds of task on each other, estimated at one host.

use model::{KindKey, PairEffect};
use run_times::{HostSpeed, SpeedSample};

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

/// Estimates the effects of the kinds on one host from its completed runs.
#[derive(Debug, Clone)]
pub struct Estimator {
    regressions: Vec<Regression>,
    /// Speed of the host apart from the effects of kinds.
    speed: HostSpeed,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            regressions: vec![Regression::default(); MAX_KINDS],
            speed: HostSpeed::default(),
        }
    }
}

impl Estimator {
    /// Adds a completed run.
    pub fn record(&mut self, now_ms: u64, exposures: &Exposures, start: &Start, run: &Measurement) {
        let count = COMMON + exposures.slots.len();
        let regression = &mut self.regressions[start.slot()];
        let inputs = inputs(&run.exposure);
        let (least, most) = LOG_RATIO_RANGE;
        let log_ratio = (run.measured_ms.max(1.0) / run.expected_ms.max(1.0)).ln();
        let log_slowness = -(f64::from(self.speed.permille(now_ms).max(1)) / 1_000.0).ln();
        let sample = SpeedSample {
            expected_ms: run.expected_ms.max(1.0) * regression.predict(&inputs).exp(),
            elapsed_ms: run.measured_ms.max(1.0),
            weight: 1.0,
            log_deviation: regression.noise_variance().sqrt(),
        };
        regression.add(
            now_ms,
            count,
            &inputs,
            (log_ratio - log_slowness).clamp(least, most),
        );
        self.speed.add_sample(now_ms, &sample);
    }

    /// Forgets what is known of the kind that had a slot before.
    pub fn clear_slot(&mut self, slot: usize) {
        for regression in &mut self.regressions {
            regression.clear_slot(slot);
        }
        self.regressions[slot] = Regression::default();
    }

    /// Returns the effects of the pairs about which most is known, at most 24.
    ///
    /// The choice does not depend on the effects, so that combining many hosts adds no bias.
    pub fn summary(&mut self, now_ms: u64, exposures: &Exposures) -> Vec<PairEffect> {
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
