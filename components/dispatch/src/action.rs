//! What the decisions ask the surrounding loop to do.

use model::{Answer, JobSpec, OwnerEnvelope, ProcessKey, ShardKey, ShardRecord};

/// Identifies one waiting copy of a request within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterKey(pub u64);

/// One copy of a submission that waits for its answer.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// Whom to answer.
    pub waiter: WaiterKey,
}

/// Something for the surrounding loop to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends messages to an agent.
    Send {
        /// Address of the agent, as `ip:port`.
        address: String,
        /// The messages.
        envelope: OwnerEnvelope,
    },
    /// Gives a waiting copy its final answer.
    Answer {
        /// Whom to answer.
        waiter: WaiterKey,
        /// The answer.
        answer: Answer,
    },
    /// Tells a waiting copy that the shard is owned elsewhere; it is to be routed anew.
    Moved {
        /// Whom to tell.
        waiter: WaiterKey,
    },
    /// Writes a shard's record if its revision is still the expected one.
    Swap {
        /// The shard.
        shard: ShardKey,
        /// Revision of the record to replace; zero if there must be none.
        expected_revision: u64,
        /// The new record.
        record: ShardRecord,
    },
    /// Reads a shard's record from the platform.
    Read {
        /// The shard.
        shard: ShardKey,
    },
    /// Offers a shard's table to another entry.
    HandOver {
        /// The shard.
        shard: ShardKey,
        /// Incarnation of the entry that is to own the shard.
        to: ProcessKey,
        /// Address of that entry, as `ip:port`.
        address: String,
        /// The table.
        table: Box<crate::handover::Table>,
    },
}

/// Outcome of a compare-and-swap in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The record was written and has this revision.
    Done(u64),
    /// The record had another revision.
    Conflict,
    /// The write surely had no effect.
    NotApplied,
    /// The answer was lost; the write may have taken effect.
    Unknown,
}
