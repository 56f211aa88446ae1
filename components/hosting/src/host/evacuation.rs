//! Evacuation of the host's failure domain.
//!
//! The operator evacuates a failure domain, possibly a quarter of all hosts in the middle of a burst.
//! From then on the host starts nothing: entries get their waiting tasks back at once, to place them
//! elsewhere. Runs that have started may end.

use model::NotStartedReason;

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

    /// Counts a rejected task if an evacuation is the reason.
    pub(super) fn count_rejection(&mut self, reason: NotStartedReason) {
        self.evacuated_tasks += u64::from(reason == NotStartedReason::Evacuated);
    }
}
