//! Doubt whether the target is still the incarnation that answered last.
//!
//! A start names its target by the instance name alone, so that the next incarnation begins it as well.
//! A call without an answer may be the first sign of one. Starts wait until the target has answered a
//! poll that was sent after the failure, which tells its incarnation.

use runtime::Backoff;

use crate::incarnation::TargetIdentity;
use crate::limits::{DOUBT_TOLERANCE_MS, MAX_POLL_PAUSE_MS, MIN_POLL_PAUSE_MS};

/// Calls that the target has left without an answer since it answered a poll.
#[derive(Debug)]
pub(crate) struct Doubt {
    /// When the first and the last of the calls failed, in milliseconds; `None` without doubt.
    failed_at_ms: Option<(u64, u64)>,
    /// When the last of the polls that were answered was sent, in milliseconds.
    answered_poll_sent_at_ms: u64,
    /// The incarnation that is being asked whether it is still there.
    checked: Option<TargetIdentity>,
    /// When the target is asked again, in milliseconds.
    next_check_at_ms: u64,
    backoff: Backoff,
}

impl Doubt {
    /// Returns the state without doubt; `seed` is for the jitter of repeated checks.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            failed_at_ms: None,
            answered_poll_sent_at_ms: 0,
            checked: None,
            next_check_at_ms: 0,
            backoff: Backoff::builder(MIN_POLL_PAUSE_MS, MAX_POLL_PAUSE_MS)
                .seed(seed)
                .build(),
        }
    }

    /// Returns whether a call has failed since the target answered.
    pub(crate) fn is_present(&self) -> bool {
        self.failed_at_ms.is_some()
    }

    /// Returns whether the target has left calls without an answer for so long that tasks had better go
    /// elsewhere.
    pub(crate) fn is_lasting(&self, now_ms: u64) -> bool {
        self.failed_at_ms
            .is_some_and(|(first_ms, _)| now_ms >= first_ms + DOUBT_TOLERANCE_MS)
    }

    /// Records that a call, sent at `sent_at_ms`, got no answer. It raises no doubt if a later poll has
    /// been answered.
    pub(crate) fn record_failure(&mut self, now_ms: u64, sent_at_ms: u64) {
        if sent_at_ms < self.answered_poll_sent_at_ms {
            return;
        }
        let first_ms = self.failed_at_ms.map_or(now_ms, |(first_ms, _)| first_ms);
        self.failed_at_ms = Some((first_ms, now_ms));
    }

    /// Records the answer to a poll that was sent at `sent_at_ms`.
    pub(crate) fn record_answer(&mut self, sent_at_ms: u64) {
        self.answered_poll_sent_at_ms = self.answered_poll_sent_at_ms.max(sent_at_ms);
        if self
            .failed_at_ms
            .is_some_and(|(_, last_ms)| last_ms <= sent_at_ms)
        {
            self.failed_at_ms = None;
            self.next_check_at_ms = 0;
            self.backoff.record_success();
        }
    }

    /// Returns whether the target should be asked now, and records that it is.
    pub(crate) fn begin_check(&mut self, now_ms: u64, target: &TargetIdentity) -> bool {
        let is_due = self.is_present()
            && self.checked.as_ref() != Some(target)
            && now_ms >= self.next_check_at_ms;
        if is_due {
            self.checked = Some(target.clone());
        }
        is_due
    }

    /// Records the end of a check; returns whether it was one of this kind. Unless it was answered, the
    /// next one follows after a pause that grows.
    pub(crate) fn end_check(
        &mut self,
        now_ms: u64,
        target: &TargetIdentity,
        is_answered: bool,
    ) -> bool {
        if self.checked.as_ref() != Some(target) {
            return false;
        }
        self.checked = None;
        if !is_answered {
            self.next_check_at_ms = self.backoff.record_failure(now_ms);
        }
        true
    }
}
