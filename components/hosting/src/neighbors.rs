//! What runs side by side on the host, and how it slows each other down.

use interference::{Estimator, Exposures, Measurement, Start};
use model::{KindKey, KindRuns, PairEffect};

/// Time for which a summary is kept before it is made again, in milliseconds: several entries get the
/// same one.
const SUMMARY_MAX_AGE_MS: u64 = 500;

/// Records beside which kinds the runs of a host spend their time, and estimates the effects.
#[derive(Debug, Default)]
pub(crate) struct NeighborEffects {
    exposures: Exposures,
    estimator: Estimator,
    summary: Vec<PairEffect>,
    summary_made_at_ms: Option<u64>,
}

impl NeighborEffects {
    /// Records the start of a run; returns what is needed at its end, if its kind is kept.
    pub(crate) fn start(&mut self, now_ms: u64, kind: KindKey) -> Option<Start> {
        let (start, replaced_slot) = self.exposures.start(now_ms, kind);
        if let Some(slot) = replaced_slot {
            self.estimator.clear_slot(slot);
        }
        start
    }

    /// Sets the share of the cores in use from now on.
    pub(crate) fn set_used_share(&mut self, now_ms: u64, used_share: f64) {
        self.exposures.set_used_share(now_ms, used_share);
    }

    /// Learns from a run that completes now.
    pub(crate) fn complete(
        &mut self,
        now_ms: u64,
        start: &Start,
        expected_ms: f64,
        measured_ms: f64,
    ) {
        let Some(exposure) = self.exposures.since(now_ms, start) else {
            return;
        };
        let run = Measurement {
            expected_ms,
            measured_ms,
            exposure,
        };
        self.estimator.record(now_ms, &self.exposures, start, &run);
    }

    /// Adds the mean numbers of recent runs to runs by kind.
    pub(crate) fn add_recent(&self, now_ms: u64, runs: &mut Vec<KindRuns>) {
        self.exposures.add_recent(now_ms, runs);
    }

    /// Records the end of a run, completed or not.
    pub(crate) fn end(&mut self, now_ms: u64, start: &Start) {
        self.exposures.end(now_ms, start);
    }

    /// Returns the estimated effects.
    pub(crate) fn summary(&mut self, now_ms: u64) -> &[PairEffect] {
        let is_fresh = self
            .summary_made_at_ms
            .is_some_and(|made_at_ms| now_ms < made_at_ms + SUMMARY_MAX_AGE_MS);
        if !is_fresh {
            self.summary = self.estimator.summary(now_ms, &self.exposures);
            self.summary_made_at_ms = Some(now_ms);
        }
        &self.summary
    }
}
