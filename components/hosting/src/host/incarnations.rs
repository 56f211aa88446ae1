//! Status reports of the target, and changes of its incarnation.

use model::NotStartedReason;
use run_times::HostSpeed;

use super::Host;
use crate::action::TargetCall;
use crate::health::Health;
use crate::incarnation::{Incarnation, TargetIdentity};
use crate::limits::MAX_TOKEN_STEP;
use crate::target::{TargetPollOutcome, TargetReport};

/// What a report has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReportOutcome {
    /// The capacity or the drain state of the target.
    Changed,
    /// Nothing.
    Unchanged,
    /// Nothing: a later report has arrived before.
    Old,
    /// Nothing yet: it names an incarnation that has not answered, and the target is asked.
    Unconfirmed,
    /// Nothing: it names the present incarnation but another group or other labels, which are the same
    /// for as long as a target runs.
    Contradictory,
}

/// What the target has answered about an incarnation that only a report named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CheckOutcome {
    /// The incarnation answers: it is the target from now on.
    Confirmed,
    /// The incarnation answers, and is the target already.
    Present,
    /// Another one answers.
    Refused,
    /// There was no conclusive answer; the target is asked again.
    Undecided,
}

impl Host {
    /// Processes a status report. One that names another incarnation than the present takes effect
    /// only when the target has confirmed it, see [`Self::check_ended`].
    pub fn handle_target_report(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<TargetCall>,
    ) -> ReportOutcome {
        let target = self.target.as_ref();
        if target.is_some_and(|target| target.identity() == report.identity()) {
            return self.update_target(now_ms, report, actions);
        }
        if !self.claims.record(now_ms, report) {
            return ReportOutcome::Old;
        }
        self.resume_polls(now_ms);
        self.tick(now_ms, actions);
        ReportOutcome::Unconfirmed
    }

    /// Applies a further report of the present incarnation.
    fn update_target(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<TargetCall>,
    ) -> ReportOutcome {
        let Some(target) = &self.target else {
            return ReportOutcome::Unchanged;
        };
        if report.sequence <= target.sequence {
            return ReportOutcome::Old;
        }
        if report.group != target.group || report.labels != target.labels {
            return ReportOutcome::Contradictory;
        }
        let is_changed =
            target.is_draining != report.is_draining || target.capacity != report.capacity;
        self.use_report(now_ms, report);
        self.tick(now_ms, actions);
        if is_changed {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Unchanged
        }
    }

    fn use_report(&mut self, now_ms: u64, report: TargetReport) {
        self.is_target_gone = false;
        self.resume_polls(now_ms);
        if report.is_draining {
            self.reject_waiting(NotStartedReason::Draining);
        }
        self.target = Some(report);
    }

    /// Ends the pause of the polls, on news of the target.
    fn resume_polls(&mut self, now_ms: u64) {
        self.poll_backoff.record_peer_start();
        self.next_poll_at_ms = now_ms;
    }

    /// Takes the last report that an earlier agent received for a report of the target, until the
    /// target reports again. If the target has restarted since, it does not confirm it.
    pub fn restore_target(
        &mut self,
        now_ms: u64,
        report: TargetReport,
        actions: &mut Vec<TargetCall>,
    ) {
        if self.target.is_none() && self.claims.record(now_ms, report) {
            self.check_claims(now_ms, actions);
        }
    }

    /// Asks the target about the incarnations that only reports name.
    pub(super) fn check_claims(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        let token = self.token;
        let due = self.claims.take_due(now_ms);
        actions.extend(
            due.into_iter()
                .map(|identity| TargetCall::Check { identity, token }),
        );
    }

    /// Asks the target whether it is still the present incarnation, if there is doubt; gives the waiting
    /// tasks back if it has not answered for some time.
    pub(super) fn resolve_doubt(&mut self, now_ms: u64, actions: &mut Vec<TargetCall>) {
        if self.doubt.is_lasting(now_ms) {
            self.reject_waiting(NotStartedReason::NoTarget);
        }
        let Some(identity) = self.target.as_ref().map(TargetReport::identity) else {
            return;
        };
        if !self.is_target_gone && self.doubt.begin_check(now_ms, &identity) {
            let token = self.token;
            actions.push(TargetCall::Check { identity, token });
        }
    }

    /// Processes the result of a [`TargetCall::Check`] that was sent at `sent_at_ms`.
    pub fn check_ended(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        identity: &TargetIdentity,
        outcome: &TargetPollOutcome,
        actions: &mut Vec<TargetCall>,
    ) -> CheckOutcome {
        let is_answered = matches!(outcome, TargetPollOutcome::Answered(_));
        let was_in_doubt = self.doubt.end_check(now_ms, identity, is_answered);
        let result = match outcome {
            TargetPollOutcome::Answered(runs)
                if self.may_be_earlier_answer(sent_at_ms, runs.born_unix_ms) =>
            {
                self.claims.retry(now_ms, identity, true);
                CheckOutcome::Undecided
            }
            TargetPollOutcome::Answered(runs) => {
                let report = self.claims.remove(identity);
                let report = report.filter(|_| runs.born_unix_ms == identity.born_unix_ms);
                let is_confirmed = report.is_some();
                if let Some(report) = report {
                    self.adopt_target(now_ms, report, actions);
                }
                self.apply_target_runs(now_ms, sent_at_ms, runs, actions);
                if is_confirmed {
                    CheckOutcome::Confirmed
                } else if was_in_doubt && runs.born_unix_ms == identity.born_unix_ms {
                    CheckOutcome::Present
                } else {
                    CheckOutcome::Refused
                }
            }
            TargetPollOutcome::OtherIncarnation => {
                self.claims.remove(identity);
                CheckOutcome::Refused
            }
            TargetPollOutcome::StaleToken => {
                self.raise_token_after(sent_at_ms);
                self.claims.retry(now_ms, identity, false);
                CheckOutcome::Undecided
            }
            TargetPollOutcome::NobodyListens
            | TargetPollOutcome::Inconclusive
            | TargetPollOutcome::Unanswered => {
                self.claims.retry(now_ms, identity, false);
                CheckOutcome::Undecided
            }
        };
        self.tick(now_ms, actions);
        result
    }

    /// Makes the incarnation of a report, which has answered, the present one.
    fn adopt_target(&mut self, now_ms: u64, report: TargetReport, actions: &mut Vec<TargetCall>) {
        let target = self.target.as_ref();
        let is_same_instance = target.is_none_or(|target| target.instance == report.instance);
        if !self.is_incarnation(report.born_unix_ms) || !is_same_instance {
            self.begin_incarnation(now_ms, report.born_unix_ms, actions);
        }
        self.target_since_ms = now_ms;
        self.target_number = self.target_number.wrapping_add(1);
        self.use_report(now_ms, report);
    }

    /// Processes the announcement that the target shuts down, which ends its runs.
    pub fn target_left(&mut self, instance: &str) {
        self.claims.remove_instance(instance);
        let current = self.target.as_ref();
        if current.is_some_and(|target| &*target.instance == instance) {
            self.is_target_gone = true;
            self.has_target_left = true;
            self.reject_waiting(NotStartedReason::NoTarget);
        }
    }

    /// Returns whether the present incarnation of the target started then.
    pub(super) fn is_incarnation(&self, born_unix_ms: u64) -> bool {
        self.incarnation
            .is_some_and(|incarnation| incarnation.born_unix_ms == born_unix_ms)
    }

    /// Returns whether an answer to a call that was sent at `sent_at_ms` may be from an incarnation
    /// before the present one: answers on different connections may overtake each other.
    pub(super) fn may_be_earlier_answer(&self, sent_at_ms: u64, born_unix_ms: u64) -> bool {
        self.incarnation.is_some_and(|incarnation| {
            incarnation.born_unix_ms != born_unix_ms && sent_at_ms < incarnation.first_answer_at_ms
        })
    }

    /// Begins an incarnation of the target that has answered.
    ///
    /// It has no runs and leases of the previous one, so that the state that depends on them is reset.
    pub(super) fn begin_incarnation(
        &mut self,
        now_ms: u64,
        born_unix_ms: u64,
        actions: &mut Vec<TargetCall>,
    ) {
        let previous = self.incarnation.replace(Incarnation {
            born_unix_ms,
            first_answer_at_ms: now_ms,
            last_poll_sent_at_ms: 0,
        });
        let Some(previous) = previous else {
            return;
        };
        // Starts that were meant for the previous one are refused from the next call on.
        self.token = self.token.saturating_add(1);
        self.token_since_ms = now_ms;
        self.end_with_incarnation(now_ms, &previous, actions);
        // They were placed here for the labels and the capacity of the previous one.
        self.reject_waiting(NotStartedReason::NoTarget);
        self.has_target_left = false;
        self.first_broken_call_ms = None;
        // The capacity of the new incarnation comes with its report; until then nothing starts.
        self.target = None;
        self.lease.reset();
        self.acknowledged = 0;
        self.speed = HostSpeed::default();
        self.health = Health::default();
        self.starts_paused_until_ms = 0;
    }

    /// Raises the fencing token after the target rejected that of a call, unless it has been raised for a
    /// new incarnation since the call was sent.
    pub(super) fn raise_token_after(&mut self, sent_at_ms: u64) {
        if sent_at_ms >= self.token_since_ms {
            self.raise_token();
        }
    }

    /// Raises the fencing token after the target rejected it as stale.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.saturating_add(self.token_step);
        self.token_step = self.token_step.saturating_mul(2).min(MAX_TOKEN_STEP);
    }
}
