//! Small `Copy` keys that identify firms, jobs, tasks, shards and processes.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Identifies a firm by the hash of its name.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct FirmKey(pub u32);

impl FirmKey {
    /// Derives the key from the firm's name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Identifies a target group by the hash of its name.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct GroupKey(pub u32);

impl GroupKey {
    /// Derives the key from the group's name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Identifies a kind of task by the hash of its name; tasks of one kind have comparable run times.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct KindKey(pub u32);

impl KindKey {
    /// Derives the key of the tasks of a queue's step.
    #[must_use]
    pub fn of_step(queue: &str, step: u16) -> Self {
        Self(xxh3_64_with_seed(queue.as_bytes(), u64::from(step)) as u32)
    }

    /// Derives the key from the kind's name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Identifies a queue by the hash of its name, in messages about it.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct QueueKey(pub u32);

impl QueueKey {
    /// Derives the key from the queue's name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Identifies one incarnation of a process; a restarted process has a new key.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct ProcessKey(pub u64);

/// Identifies a job within its firm by the hash of the client's id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobDigest(pub u128);

impl fmt::Debug for JobDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies a job across all processes and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The firm that submitted the job.
    pub firm: FirmKey,
    /// Hash of the id chosen by the client.
    pub digest: JobDigest,
}

impl JobKey {
    /// Derives the key from the firm and the client's id.
    #[must_use]
    pub fn new(firm: FirmKey, id: &str) -> Self {
        Self {
            firm,
            digest: JobDigest(xxh3_128(id.as_bytes())),
        }
    }

    /// Returns the shard that owns the job when the firm has `shard_count` shards.
    ///
    /// # Panics
    ///
    /// Panics if `shard_count` is zero.
    #[must_use]
    pub fn shard(self, shard_count: u16) -> ShardKey {
        assert!(shard_count > 0, "a firm has at least one shard");
        let index = (self.digest.0 % u128::from(shard_count)) as u16;
        ShardKey {
            firm: self.firm,
            index,
        }
    }
}

/// Identifies one task of a job by its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobKey,
    /// Position of the task in the job, from zero.
    pub index: u16,
}

/// Identifies a shard: a fixed part of the jobs of one firm, owned by one entry at a time.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{firm}/{index}")]
pub struct ShardKey {
    /// The firm whose jobs are in the shard.
    pub firm: FirmKey,
    /// Position of the shard among the firm's shards.
    pub index: u16,
}

/// Fencing token of a shard, incremented with every change of owner; agents refuse starts of
/// older generations.
#[derive(
    Debug,
    Display,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation of the next owner.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number of an attempt to run a task; a later attempt has a higher number.
///
/// An agent starts neither an attempt that it has refused or revoked nor an earlier one.
#[derive(
    Debug,
    Display,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Attempt(pub u32);
