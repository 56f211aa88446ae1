//! Actions that the dispatcher returns to its event loop.

use model::{Answer, JobSpec, OwnerEnvelope, ProcessKey, ShardKey, ShardRecord};

/// Identifies, within a process, one request that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterKey(pub u64);

/// One request that submits a job and waits for its answer.
///
/// A client may send the same job several times; each copy is a submission of its own.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// The request to answer.
    pub waiter: WaiterKey,
}

/// An effect that the event loop carries out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends messages to an agent.
    Send {
        /// Address of the agent, as `ip:port`.
        address: String,
        /// The messages.
        envelope: OwnerEnvelope,
    },
    /// Sends the final answer to a waiting request.
    Answer {
        /// The request to answer.
        waiter: WaiterKey,
        /// The answer.
        answer: Answer,
    },
    /// Reroutes a waiting request because another entry owns the shard.
    Reroute {
        /// The request to reroute.
        waiter: WaiterKey,
    },
    /// Writes a shard's record with a compare-and-swap on its revision.
    CompareAndSwap {
        /// The shard.
        shard: ShardKey,
        /// Revision of the record to replace; zero if the record must not exist yet.
        expected_revision: u64,
        /// The new record.
        record: ShardRecord,
    },
    /// Reads a shard's record from the platform.
    ReadRecord {
        /// The shard.
        shard: ShardKey,
    },
    /// Sends a shard's table to its next owner.
    HandOver {
        /// The shard.
        shard: ShardKey,
        /// Incarnation of the next owner.
        to: ProcessKey,
        /// Address of that entry, as `ip:port`.
        address: String,
        /// The table.
        table: Box<crate::handover::ShardTable>,
    },
}

/// Outcome of a compare-and-swap in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The record was written and has this revision.
    Done(u64),
    /// The record had another revision.
    Conflict,
    /// The write definitely had no effect.
    NotApplied,
    /// The response was lost; the write may have taken effect.
    Unknown,
}
