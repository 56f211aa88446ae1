//! Incarnations of the target, and the reports that claim one.
//!
//! A report reaches the agent from anyone who knows its address: the target, an earlier incarnation of
//! it, another target that has the wrong address. It proves neither that an incarnation has begun nor
//! that another has ended. Only the target's own answers do, to calls that were sent after the present
//! incarnation had answered.

use std::rc::Rc;

use runtime::Backoff;

use crate::limits::{CLAIM_RETENTION_MS, MAX_CLAIMS, MAX_POLL_PAUSE_MS, MIN_POLL_PAUSE_MS};
use crate::target::TargetReport;

/// Name and start of an incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Identity of the target.
    pub instance: Rc<str>,
    /// When this incarnation of the target started, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
}

/// An incarnation of the target that has answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Incarnation {
    pub(crate) born_unix_ms: u64,
    /// When its first answer arrived, in milliseconds.
    pub(crate) first_answer_at_ms: u64,
    /// When the last of the polls that it has answered was sent, in milliseconds.
    pub(crate) last_poll_sent_at_ms: u64,
}

/// A report that the target has not confirmed.
#[derive(Debug)]
struct Claim {
    report: TargetReport,
    /// When the target is asked again, in milliseconds; `None` while a call is in progress.
    check_at_ms: Option<u64>,
    expires_at_ms: u64,
    backoff: Backoff,
}

/// Reports that the target has not confirmed, one for each incarnation that they name.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    claims: Vec<Claim>,
}

impl Claims {
    /// Records a report; the target is asked about it at once unless a call is in progress. Returns
    /// whether it is newer than the recorded one.
    pub(crate) fn record(&mut self, now_ms: u64, report: TargetReport) -> bool {
        let identity = report.identity();
        if let Some(claim) = self.get_mut(&identity) {
            let is_newer = report.sequence > claim.report.sequence;
            if is_newer {
                claim.report = report;
                claim.expires_at_ms = now_ms + CLAIM_RETENTION_MS;
                claim.check_at_ms = claim.check_at_ms.map(|at_ms| at_ms.min(now_ms));
            }
            return is_newer;
        }
        if self.claims.len() >= MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim {
            report,
            check_at_ms: Some(now_ms),
            expires_at_ms: now_ms + CLAIM_RETENTION_MS,
            backoff: Backoff::builder(MIN_POLL_PAUSE_MS, MAX_POLL_PAUSE_MS)
                .seed(identity.born_unix_ms)
                .build(),
        });
        true
    }

    /// Returns the incarnations about which the target should be asked now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<TargetIdentity> {
        self.claims
            .retain(|claim| claim.check_at_ms.is_none() || now_ms < claim.expires_at_ms);
        let is_due = |claim: &&mut Claim| claim.check_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let due = self.claims.iter_mut().filter(is_due);
        due.map(|claim| {
            claim.check_at_ms = None;
            claim.report.identity()
        })
        .collect()
    }

    /// Asks the target again: at once, or after a pause that grows.
    pub(crate) fn retry(&mut self, now_ms: u64, identity: &TargetIdentity, is_immediate: bool) {
        if let Some(claim) = self.get_mut(identity) {
            let pause_end_ms = claim.backoff.record_failure(now_ms);
            claim.check_at_ms = Some(if is_immediate { now_ms } else { pause_end_ms });
        }
    }

    /// Removes the report of an incarnation.
    pub(crate) fn remove(&mut self, identity: &TargetIdentity) -> Option<TargetReport> {
        let is_of = |claim: &Claim| claim.report.identity() == *identity;
        let at = self.claims.iter().position(is_of)?;
        Some(self.claims.remove(at).report)
    }

    /// Removes the reports that name an instance.
    pub(crate) fn remove_instance(&mut self, instance: &str) {
        self.claims
            .retain(|claim| &*claim.report.instance != instance);
    }

    fn get_mut(&mut self, identity: &TargetIdentity) -> Option<&mut Claim> {
        let is_of = |claim: &&mut Claim| claim.report.identity() == *identity;
        self.claims.iter_mut().find(is_of)
    }
}
