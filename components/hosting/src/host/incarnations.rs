//! The lives of the target, and its reports.

use model::NotStarted;

use super::Host;
use crate::action::HostAction;
use crate::health::Health;
use crate::speed::Pace;
use crate::target::TargetReport;

impl Host {
    /// Takes the target's report about itself; tells whether it is news.
    pub fn report(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        let is_same_life = self.target.as_ref().is_some_and(|target| {
            target.instance == report.instance && target.born_unix_ms == report.born_unix_ms
        });
        if let Some(target) = &self.target {
            let is_old = if is_same_life {
                report.sequence <= target.sequence
            } else {
                report.born_unix_ms < target.born_unix_ms
            };
            if is_old {
                return false;
            }
        }
        self.enter_life(report.born_unix_ms);
        let is_changed = !is_same_life
            || self.target.as_ref().is_some_and(|target| {
                target.is_draining != report.is_draining || target.capacity != report.capacity
            });
        self.is_target_gone = false;
        if report.is_draining {
            self.give_back_waiting(NotStarted::Draining);
        }
        self.target = Some(report);
        self.tick(now_ms, actions);
        is_changed
    }

    /// Takes what an earlier agent knew of the target, until the target reports itself; another
    /// life of the target is noticed by its answers.
    pub fn recall(&mut self, report: TargetReport) {
        if self.target.is_none() && self.life_unix_ms.is_none_or(|ms| ms == report.born_unix_ms) {
            self.enter_life(report.born_unix_ms);
            self.target = Some(report);
        }
    }

    /// Takes note that the target says goodbye; what it runs ends with it.
    pub fn target_left(&mut self, instance: &str) {
        let is_here = self.target.as_ref();
        if is_here.is_some_and(|target| &*target.instance == instance) {
            self.is_target_gone = true;
            self.give_back_waiting(NotStarted::NoTarget);
        }
    }

    /// Takes note of the life that the target is in; a new one knows nothing of the last.
    pub(super) fn enter_life(&mut self, born_unix_ms: u64) {
        if self.life_unix_ms == Some(born_unix_ms) {
            return;
        }
        let is_first = self.life_unix_ms.replace(born_unix_ms).is_none();
        if is_first {
            return;
        }
        // What the new life offers is told by its report; until then nothing starts.
        self.target = None;
        let now_ms = self.heard_at_ms;
        self.lose_all(now_ms);
        self.lease.reset();
        self.acknowledged = 0;
        self.pace = Pace::default();
        self.health = Health::default();
        self.numbers.clear();
        self.no_room_until_ms = 0;
    }

    pub(super) fn raise_token(&mut self) {
        self.token += self.token_step;
        self.token_step = self.token_step.saturating_mul(2);
    }
}
