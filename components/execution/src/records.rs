//! Records of jobs and tasks, and their limits and retention.

use model::{JobKey, ShardKey, Start};

use crate::agent::Agent;
use crate::table::{JobSlot, RECORD_RETENTION_MS, TaskSlot};

/// Divisor of the record limit that gives the additional records reserved for refusals.
const REFUSAL_RESERVE_DIVISOR: usize = 8;

impl Agent {
    pub(crate) fn advance_wall_clock(&mut self, now_unix_ms: u64) {
        // Never moves back, even if the clock is set back: a start whose record has been removed
        // must still be refused for its age.
        self.now_unix_ms = self.now_unix_ms.max(now_unix_ms);
        for (job, shard) in self.table.remove_expired(self.now_unix_ms) {
            self.remove_job_from_shard(shard, job);
        }
        self.results.trim(&self.table);
    }

    /// Returns the job of a start, creating or renewing its record; `None` at the record limit.
    pub(crate) fn record_job(&mut self, start: &Start) -> Option<JobSlot> {
        let expires_unix_ms = record_expiry_unix_ms(start);
        let job_slot = match self.table.find(start.job.key) {
            Some(job_slot) => job_slot,
            None if !self.has_record_capacity() => return None,
            None => self.insert_job(start.job.key, start.shard, expires_unix_ms),
        };
        let job = self.table.job_mut(job_slot)?;
        job.expires_unix_ms = job.expires_unix_ms.max(expires_unix_ms);
        let is_renewed = job.meta.as_ref().is_none_or(|meta| {
            meta.submitted_unix_ms < start.job.submitted_unix_ms
                && !job.tasks.iter().any(|task| task.has_started())
        });
        if is_renewed {
            job.meta = Some(start.job.clone());
        }
        Some(job_slot)
    }

    pub(crate) fn insert_job(
        &mut self,
        key: JobKey,
        shard: ShardKey,
        expires_unix_ms: u64,
    ) -> JobSlot {
        let job_slot = self.table.insert_job(key, shard, expires_unix_ms);
        self.shards.entry(shard).or_default().jobs.insert(job_slot);
        job_slot
    }

    /// Creates a record for a task unless it has one; returns `false` at the record limit.
    pub(crate) fn record_task(&mut self, task_slot: TaskSlot) -> bool {
        if self.table.task(task_slot).is_some() {
            return true;
        }
        if !self.has_record_capacity() {
            if let Some(job) = self.table.job(task_slot.job) {
                self.counters.firm(job.shard.firm).unrecorded += 1;
            }
            return false;
        }
        self.table.ensure_task(task_slot);
        true
    }

    pub(crate) fn has_record_capacity(&self) -> bool {
        let max_records = self.settings.max_records;
        self.table.records() < max_records + max_records / REFUSAL_RESERVE_DIVISOR
    }

    pub(crate) fn is_record_table_full(&self) -> bool {
        self.table.records() >= self.settings.max_records
    }

    pub(crate) fn is_result_memory_full(&self) -> bool {
        self.table.result_bytes() >= self.settings.max_result_bytes
    }

    fn remove_job_from_shard(&mut self, key: ShardKey, job: JobSlot) {
        let Some(shard) = self.shards.get_mut(&key) else {
            return;
        };
        shard.jobs.remove(&job);
        if shard.jobs.is_empty() {
            shard.parts.clear();
            if shard.fenced.is_none() {
                self.shards.remove(&key);
            }
        }
    }
}

/// Returns when the record of the job may be removed.
pub(crate) fn record_expiry_unix_ms(start: &Start) -> u64 {
    start
        .job
        .submitted_unix_ms
        .saturating_add(RECORD_RETENTION_MS)
}
