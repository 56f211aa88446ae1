//! Jobs and tasks as a client submits them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::keys::{GroupKey, JobKey, KindKey};

/// Describes a whole job as accepted from a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What every process needs to know of the job.
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
    /// Hash of the body without the submission time; tells another body under the same id.
    pub body_digest: u128,
    /// Time of this submission on the client's clock, the same in every copy of it.
    pub submitted_unix_ms: u64,
    /// Time after which the answer is of no use.
    pub deadline_unix_ms: u64,
    /// Whether the client declares that the job may be submitted again under another id.
    pub repeatable: bool,
    /// Number of tasks.
    pub task_count: u16,
}

/// Describes one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Kind of task, for learning run times.
    pub kind: KindKey,
    /// Run time the client declares, in microseconds; often far off.
    pub declared_us: u64,
    /// Body sent to the target.
    pub payload: Bytes,
}
