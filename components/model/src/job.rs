//! Jobs and tasks as a client submits them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::keys::{GroupKey, JobKey, KindKey};

/// Describes a whole job as accepted from a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Everything about the job except its tasks.
    pub meta: JobMeta,
    /// The job's tasks in the client's order; never empty.
    pub tasks: Vec<TaskSpec>,
}

/// Describes a job without its tasks' payloads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobMeta {
    /// Key of the job.
    pub key: JobKey,
    /// Id chosen by the client.
    pub id: String,
    /// Group of targets that may run the job.
    pub group: GroupKey,
    /// Hash of the body without the submission time; detects an id reused for another body.
    pub body_digest: u128,
    /// Time of this submission on the client's clock; all copies of the submission carry the same.
    pub submitted_unix_ms: u64,
    /// Deadline of the job: time after which the client no longer needs the answer.
    pub deadline_unix_ms: u64,
    /// Whether the client declares that the job may be submitted again under another id.
    pub repeatable: bool,
    /// Number of tasks.
    pub task_count: u16,
}

/// Describes one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Kind of the task, by which run times are estimated.
    pub kind: KindKey,
    /// Run time that the client declares, in microseconds; often inaccurate.
    pub declared_us: u64,
    /// Request body for the target.
    pub payload: Bytes,
}
