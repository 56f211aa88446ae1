//! Passive health check of the target: ejects it after runs of several jobs failed in a row, and
//! then lets it run one task at a time until one succeeds.

use model::JobId;

use crate::limits::{CONSECUTIVE_FAILED_JOBS, EJECTION_MS};

/// Recent failures of a target; those of one job count once, since the job may be at fault.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_jobs: Vec<JobId>,
    ejected_until_ms: u64,
    is_on_probation: bool,
}

impl Health {
    /// Records a successful run; it ends the probation.
    pub(crate) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.is_on_probation = false;
    }

    /// Records a run that failed or stalled, or a start refused as unhealthy.
    ///
    /// Ejects the target for [`EJECTION_MS`] after failures of [`CONSECUTIVE_FAILED_JOBS`]
    /// different jobs, or after a single one on probation.
    pub(crate) fn failed(&mut self, now_ms: u64, job: JobId) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let is_failing = self.failed_jobs.len() >= CONSECUTIVE_FAILED_JOBS || self.is_on_probation;
        if !is_failing || now_ms < self.ejected_until_ms {
            return;
        }
        self.failed_jobs.clear();
        self.ejected_until_ms = now_ms + EJECTION_MS;
        self.is_on_probation = true;
    }

    /// Returns whether the target is ejected and gets no tasks.
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether the target gets one task at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
