//! Extra run time that a task and the runs on a host cause each other.
//!
//! It ranks hosts that are otherwise acceptable, for fleets in which some kinds of task slow each other
//! down. The extra time is counted in milliseconds like a wait: a task should wait for another host
//! exactly if the wait is shorter.

use interference::Beliefs;
use model::{KindKey, KindRuns};

/// A task's kind, with the beliefs that concern it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Separation<'a> {
    pub(crate) kind: KindKey,
    pub(crate) beliefs: &'a Beliefs,
}

/// Expected effects of a task and the runs on a host on each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Disturbance {
    /// Factor on the run time of the task.
    pub(crate) own_factor: f64,
    /// Extra run time of the runs on the host, in milliseconds.
    pub(crate) others_ms: f64,
}

impl Disturbance {
    /// No effect.
    pub(crate) const NONE: Self = Self {
        own_factor: 1.0,
        others_ms: 0.0,
    };
}

impl Separation<'_> {
    /// Returns the effects of a task that takes `run_ms` and of these runs, by kind, on each other.
    ///
    /// A kind disturbs by its presence, so that one more task of a kind that is already there adds only
    /// its share.
    pub(crate) fn disturbance(&self, run_ms: f64, runs: &[KindRuns]) -> Disturbance {
        let of_kind = runs.iter().find(|at| at.kind == self.kind);
        let same_kind = of_kind.map_or(0.0, expected_count);
        let mut disturbance = Disturbance::NONE;
        for at in runs {
            let count = expected_count(at);
            let own_extra = self.beliefs.factor(self.kind, at.kind) - 1.0;
            disturbance.own_factor *= 1.0 + count.min(1.0) * own_extra;
            let others_extra = self.beliefs.factor(at.kind, self.kind) - 1.0;
            disturbance.others_ms += count * others_extra * run_ms / (1.0 + same_kind);
        }
        disturbance
    }
}

/// Returns the number of runs of a kind that are expected while a task runs: those of now, or of the last
/// second if there were more, since further ones are likely to come.
fn expected_count(runs: &KindRuns) -> f64 {
    f64::from(runs.count).max(f64::from(runs.recent_percent) / 100.0)
}
