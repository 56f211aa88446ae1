//! Whether a target fails what it starts.

use model::CallerId;

use crate::limits::{EJECTION_MS, FAILURES_IN_A_ROW};

/// Evidence against a target; failures of one job count once, since the job may be at fault.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_jobs: Vec<CallerId>,
    ejected_until_ms: u64,
    is_on_probation: bool,
}

impl Health {
    /// Takes note of a run that did its work.
    pub(crate) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.is_on_probation = false;
    }

    /// Takes note of a run that failed or stalled; one too many ejects the target for a while.
    pub(crate) fn failed(&mut self, now_ms: u64, job: CallerId) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let is_failing = self.failed_jobs.len() >= FAILURES_IN_A_ROW || self.is_on_probation;
        if !is_failing || now_ms < self.ejected_until_ms {
            return;
        }
        self.failed_jobs.clear();
        self.ejected_until_ms = now_ms + EJECTION_MS;
        self.is_on_probation = true;
    }

    /// Tells whether the target gets no work.
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Tells whether the target gets one task at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
