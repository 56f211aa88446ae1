//! Extra run time that a task and the runs on a host cause each other.
//!
//! It ranks hosts that are otherwise acceptable, for fleets in which some kinds of task slow each other
//! down. The extra time is counted in milliseconds like a wait: a task should wait for another host
//! exactly if the wait is shorter.

use interference::Beliefs;
use model::KindKey;

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
    pub(crate) fn disturbance(&self, run_ms: f64, runs: &[(KindKey, u16)]) -> Disturbance {
        let of_kind = runs.iter().find(|(kind, _)| *kind == self.kind);
        let same_kind = of_kind.map_or(0, |(_, count)| *count);
        let mut disturbance = Disturbance::NONE;
        for &(kind, count) in runs.iter().filter(|(_, count)| *count > 0) {
            disturbance.own_factor *= self.beliefs.factor(self.kind, kind);
            let extra_share = self.beliefs.factor(kind, self.kind) - 1.0;
            disturbance.others_ms +=
                f64::from(count) * extra_share * run_ms / f64::from(1 + same_kind);
        }
        disturbance
    }
}
