//! Crashes of the target, and the runs that may have caused them.
//!
//! Handles tasks that crash each target that starts them: on a busy host a dozen runs are lost with the
//! target, and the age of a run at the crash tells which of them may be the cause.

use std::collections::BTreeSet;

use model::{JobId, RunEnd, TaskRef};

use super::Host;
use crate::limits::SUSPECT_AGE_MS;
use crate::run::{Run, RunState};

impl Host {
    /// Records that a call of the target broke off, as it does when the target crashes.
    pub(super) fn record_broken_call(&mut self, now_ms: u64) {
        self.first_broken_call_ms.get_or_insert(now_ms);
    }

    /// Ends all runs at a target that is gone: as crashed, unless the target had announced its end.
    pub(super) fn end_all_with_target(&mut self, now_ms: u64) {
        let is_expected = self.has_target_left
            || self
                .target
                .as_ref()
                .is_some_and(|target| target.is_draining);
        let crashed_at_ms = self.first_broken_call_ms.unwrap_or(now_ms);
        let at_target = || self.runs.iter().filter(|(_, run)| run.occupies_resources());
        let suspects = at_target().filter(|(_, run)| is_suspect(run, crashed_at_ms));
        let suspect_jobs: BTreeSet<JobId> = suspects.map(|(task, _)| task.job).collect();
        let ends: Vec<(TaskRef, RunEnd)> = at_target()
            .map(|(task, run)| {
                let end = if is_expected {
                    RunEnd::Lost
                } else if !is_suspect(run, crashed_at_ms) {
                    RunEnd::Crashed
                } else if suspect_jobs.len() > 1 {
                    RunEnd::CrashedAtStart
                } else {
                    RunEnd::CausedCrash
                };
                (*task, end)
            })
            .collect();
        for (task, end) in ends {
            self.remove_ended(now_ms, task, end);
        }
    }
}

/// Returns whether a run had started so shortly before the crash that it may be the cause.
fn is_suspect(run: &Run, crashed_at_ms: u64) -> bool {
    match run.state {
        RunState::Starting { .. } => true,
        RunState::Running { started_at_ms, .. } => {
            crashed_at_ms <= started_at_ms.saturating_add(SUSPECT_AGE_MS)
        }
        RunState::Waiting { .. } | RunState::Stopping { .. } => false,
    }
}
