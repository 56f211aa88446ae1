//! Evacuation of the host's failure domain.
//!
//! The operator evacuates a failure domain, possibly a quarter of all hosts in the middle of a burst.
//! From then on the host starts nothing: entries get their waiting tasks back at once, to place them
//! elsewhere. Runs that have started may end.

use model::{NotStartedReason, TaskRef};

use super::Host;
use crate::action::TargetCall;

impl Host {
    /// Sets whether the failure domain of the host is evacuated; rejects the waiting tasks if it is.
    pub fn set_evacuated(
        &mut self,
        now_ms: u64,
        is_evacuated: bool,
        actions: &mut Vec<TargetCall>,
    ) {
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.reject_waiting(NotStartedReason::Evacuated);
        }
        self.tick(now_ms, actions);
    }

    /// Returns whether the failure domain of the host is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns the number of tasks that were rejected because of an evacuation.
    #[must_use]
    pub fn evacuated_task_count(&self) -> u64 {
        self.evacuated_tasks
    }

    /// Sends a start again that was refused or not answered, unless the failure domain is evacuated:
    /// then the run is rejected, after a stop if the target may still execute an earlier copy.
    pub(super) fn repeat_start(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        number: u32,
        actions: &mut Vec<TargetCall>,
    ) {
        if self.is_evacuated {
            self.resolve_refused_start(now_ms, task, NotStartedReason::Evacuated, actions);
        } else {
            self.send_start(now_ms, task, number, actions);
        }
    }

    /// Counts a rejected task if an evacuation is the reason.
    pub(super) fn count_rejection(&mut self, reason: NotStartedReason) {
        self.evacuated_tasks += u64::from(reason == NotStartedReason::Evacuated);
    }
}
