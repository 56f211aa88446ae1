//! Records of answered and refused jobs, kept for the retention period to deduplicate
//! resubmissions.

use std::collections::BTreeSet;

use model::RETENTION_MS;
use model::{Answer, Attempt, CLOCK_SKEW_MS, Failure, FailureKind, FailureReason, JobKey, JobMeta};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Maximum size of the results kept for resubmissions.
const MAX_RESULT_BYTES: usize = 256 * 1024 * 1024;

/// A final answer with the data that identifies resubmissions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerRecord {
    pub key: JobKey,
    pub id: String,
    pub body_digest: u128,
    pub submitted_unix_ms: u64,
    pub answer: Answer,
    /// Newest attempt of any task; attempts of a later submission with the id must be newer.
    pub last_attempt: Attempt,
}

impl AnswerRecord {
    pub fn new(meta: &JobMeta, answer: Answer, last_attempt: Attempt) -> Self {
        Self {
            key: meta.key,
            id: meta.id.clone(),
            body_digest: meta.body_digest,
            submitted_unix_ms: meta.submitted_unix_ms,
            answer,
            last_attempt,
        }
    }

    /// Returns whether a submission with the same id and the given date may be admitted.
    ///
    /// It may if the recorded job did not run and the submission is newer.
    pub fn allows_newer(&self, submitted_unix_ms: u64) -> bool {
        let not_run = matches!(
            &self.answer,
            Answer::Failed(Failure {
                kind: FailureKind::NotRun | FailureKind::CannotRun,
                ..
            })
        );
        not_run && submitted_unix_ms > self.submitted_unix_ms
    }

    fn expires_unix_ms(&self) -> u64 {
        self.submitted_unix_ms + RETENTION_MS + 2 * CLOCK_SKEW_MS
    }

    fn result_bytes(&self) -> usize {
        match &self.answer {
            Answer::Complete(results) => results.iter().map(|result| result.len()).sum(),
            Answer::Failed(_) => 0,
        }
    }
}

/// Records of one shard by job, removed after the retention period.
#[derive(Debug, Default)]
pub struct AnswerRecords {
    by_key: FxHashMap<JobKey, AnswerRecord>,
    expiry: BTreeSet<(u64, JobKey)>,
    /// Jobs with results, the oldest answer first.
    with_results: std::collections::VecDeque<JobKey>,
    result_bytes: usize,
}

impl AnswerRecords {
    pub fn get(&self, key: JobKey) -> Option<&AnswerRecord> {
        self.by_key.get(&key)
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &AnswerRecord> {
        self.by_key.values()
    }

    pub fn insert(&mut self, record: AnswerRecord) {
        self.remove(record.key);
        self.expiry.insert((record.expires_unix_ms(), record.key));
        let bytes = record.result_bytes();
        if bytes > 0 {
            self.result_bytes += bytes;
            self.with_results.push_back(record.key);
        }
        self.by_key.insert(record.key, record);
        self.drop_results();
    }

    pub fn remove(&mut self, key: JobKey) {
        let Some(record) = self.by_key.remove(&key) else {
            return;
        };
        self.expiry.remove(&(record.expires_unix_ms(), key));
        self.result_bytes -= record.result_bytes();
    }

    /// Removes records of jobs that are too old to be resubmitted.
    pub fn expire(&mut self, now_unix_ms: u64) {
        while let Some(&(expires_unix_ms, key)) = self.expiry.first() {
            if expires_unix_ms > now_unix_ms {
                return;
            }
            self.remove(key);
        }
    }

    fn drop_results(&mut self) {
        while self.result_bytes > MAX_RESULT_BYTES {
            let Some(key) = self.with_results.pop_front() else {
                return;
            };
            let Some(record) = self.by_key.get_mut(&key) else {
                continue;
            };
            self.result_bytes -= record.result_bytes();
            record.answer = Answer::failed(
                FailureKind::MayHaveRun,
                FailureReason::ResultDropped,
                "the job ran; its results are no longer held",
            );
        }
    }
}
