//! Records of what runs side by side, for the estimate of interference.

use model::{KindRuns, Neighbors, PairEffect, ProcessKey, TaskRef, count_runs};

use super::Host;
use crate::limits::EFFECTS_INTERVAL_MS;
use crate::neighbors::NeighborEffects;
use crate::run::RunState;

/// Most kinds of task that a view names.
const MAX_NAMED_KINDS: usize = 16;

impl Host {
    /// Sets whether the agent estimates how kinds of task slow each other down.
    #[must_use]
    pub fn separating_interfering_tasks(mut self, is_on: bool) -> Self {
        self.neighbors = is_on.then(NeighborEffects::default);
        self
    }

    /// Returns the estimated effects of kinds on each other; empty if they are not estimated.
    pub fn pair_effects(&mut self, now_ms: u64) -> Vec<PairEffect> {
        let neighbors = self.neighbors.as_mut();
        neighbors.map_or_else(Vec::new, |effects| effects.summary(now_ms).to_vec())
    }

    /// Records that a run has started at the target.
    pub(super) fn record_neighbors_at_start(&mut self, now_ms: u64, task: TaskRef) {
        let (used_millis, capacity_millis) = self.cpu_use_millis();
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let others_millis = used_millis.saturating_sub(run.needs.cpu_millis);
        run.was_host_busy = 2 * u64::from(others_millis) > u64::from(capacity_millis);
        if let Some(neighbors) = &mut self.neighbors {
            run.exposure_start = neighbors.start(now_ms, run.kind);
            neighbors.set_used_share(now_ms, share(used_millis, capacity_millis));
        }
    }

    /// Learns from a run that completes now, unless its run time is not comparable.
    pub(super) fn learn_effects(&mut self, now_ms: u64, task: TaskRef) {
        let (Some(neighbors), Some(run)) = (&mut self.neighbors, self.runs.get(&task)) else {
            return;
        };
        if let (Some(start), RunState::Running { started_at_ms, .. }) =
            (&run.exposure_start, run.state)
            && !run.is_data_remote
        {
            let measured_ms = now_ms.saturating_sub(started_at_ms) as f64;
            neighbors.complete(now_ms, start, f64::from(run.estimate_ms), measured_ms);
        }
    }

    /// Records that a run, already removed, has left the target.
    pub(super) fn record_neighbors_at_end(
        &mut self,
        now_ms: u64,
        start: Option<&interference::Start>,
    ) {
        if self.neighbors.is_none() {
            return;
        }
        let (used_millis, capacity_millis) = self.cpu_use_millis();
        if let (Some(neighbors), Some(start)) = (&mut self.neighbors, start) {
            neighbors.end(now_ms, start);
            neighbors.set_used_share(now_ms, share(used_millis, capacity_millis));
        }
    }

    /// Returns the kinds of the runs on the host, without the effects.
    pub(super) fn neighbor_runs(&self, now_ms: u64) -> Neighbors {
        let mut runs: Vec<KindRuns> = Vec::new();
        let Some(neighbors) = &self.neighbors else {
            return Neighbors::default();
        };
        for run in self.runs.values() {
            count_runs(&mut runs, run.kind, 1);
        }
        neighbors.add_recent(now_ms, &mut runs);
        runs.truncate(MAX_NAMED_KINDS);
        Neighbors {
            runs,
            effects: Vec::new(),
        }
    }

    /// Returns the effects that the next update for an entry carries; none if it had them recently.
    pub(super) fn effects_for(&mut self, now_ms: u64, to: ProcessKey) -> Vec<PairEffect> {
        let (Some(neighbors), Some(session)) = (&mut self.neighbors, self.sessions.get_mut(&to))
        else {
            return Vec::new();
        };
        if now_ms < session.effects_due_at_ms {
            return Vec::new();
        }
        session.effects_due_at_ms = now_ms + EFFECTS_INTERVAL_MS;
        neighbors.summary(now_ms).to_vec()
    }

    /// Returns the CPU that runs occupy, and that of the target, in thousandths of a core.
    fn cpu_use_millis(&self) -> (u32, u32) {
        let capacity = self.target.as_ref().map(|target| target.capacity);
        (
            self.used_resources().cpu_millis,
            capacity.unwrap_or_default().cpu_millis,
        )
    }
}

fn share(used_millis: u32, capacity_millis: u32) -> f64 {
    f64::from(used_millis) / f64::from(capacity_millis.max(1))
}
