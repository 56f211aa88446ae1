//! Status reports of the target, and changes of its incarnation.

use model::NotStartedReason;
use run_times::HostSpeed;

use super::Host;
use crate::action::TargetCall;
use crate::health::Health;
use crate::limits::MAX_TOKEN_STEP;
use crate::target::TargetReport;

impl Host {
    /// Processes a status report of the target; returns whether its incarnation, capacity or drain
    /// state changed.
    pub fn handle_target_report(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<TargetCall>,
    ) -> bool {
        let is_same_incarnation = self.target.as_ref().is_some_and(|target| {
            target.instance == report.instance && target.born_unix_ms == report.born_unix_ms
        });
        if let Some(target) = &self.target {
            let is_old = if is_same_incarnation {
                report.sequence <= target.sequence
            } else {
                report.born_unix_ms < target.born_unix_ms
            };
            if is_old {
                return false;
            }
        }
        self.set_incarnation(report.born_unix_ms);
        let is_changed = !is_same_incarnation
            || self.target.as_ref().is_some_and(|target| {
                target.is_draining != report.is_draining || target.capacity != report.capacity
            });
        self.is_target_gone = false;
        self.poll_backoff.record_peer_start();
        self.next_poll_at_ms = now_ms;
        if report.is_draining {
            self.reject_waiting(NotStartedReason::Draining);
        }
        self.target = Some(report);
        self.tick(now_ms, actions);
        is_changed
    }

    /// Restores the last report that an earlier agent received, until the target reports again. If
    /// the target has restarted since, its answers to polls show that.
    pub fn restore_target(&mut self, report: TargetReport) {
        if self.target.is_none()
            && self
                .incarnation_unix_ms
                .is_none_or(|ms| ms == report.born_unix_ms)
        {
            self.set_incarnation(report.born_unix_ms);
            self.target = Some(report);
        }
    }

    /// Processes the announcement that the target shuts down, which ends its runs.
    pub fn target_left(&mut self, instance: &str) {
        let current = self.target.as_ref();
        if current.is_some_and(|target| &*target.instance == instance) {
            self.is_target_gone = true;
            self.has_target_left = true;
            self.reject_waiting(NotStartedReason::NoTarget);
        }
    }

    /// Sets the incarnation of the target.
    ///
    /// A new one has no runs, leases or run numbers of the previous one, so that the state that
    /// depends on them is reset.
    pub(super) fn set_incarnation(&mut self, born_unix_ms: u64) {
        if self.incarnation_unix_ms == Some(born_unix_ms) {
            return;
        }
        let is_first = self.incarnation_unix_ms.replace(born_unix_ms).is_none();
        if is_first {
            return;
        }
        self.end_all_with_target(self.last_answer_at_ms);
        self.has_target_left = false;
        self.first_broken_call_ms = None;
        // The capacity of the new incarnation comes with its report; until then nothing starts.
        self.target = None;
        self.lease.reset();
        self.acknowledged = 0;
        self.speed = HostSpeed::default();
        self.health = Health::default();
        self.last_run_numbers.clear();
        self.starts_paused_until_ms = 0;
    }

    /// Raises the fencing token after the target rejected it as stale.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.saturating_add(self.token_step);
        self.token_step = self.token_step.saturating_mul(2).min(MAX_TOKEN_STEP);
    }
}
