//! Decisions of an entry about sharded jobs: shard ownership, admission control, task placement and
//! answers to callers. The `scheduling` crate decides about jobs that belong to no shard.
//!
//! The crate is deterministic: it does no I/O and reads neither the clock nor system randomness. It
//! takes events and the current time, and returns [`Action`]s to carry out.

mod action;
mod admission;
mod agents;
mod arrivals;
mod authority;
mod counters;
mod dispatcher;
mod fairness;
mod health;
mod job;
mod mutation;
mod outcomes;
mod ownership;
mod ownership_view;
mod placement;
mod planned_handover;
mod queue;
mod records;
mod recovery;
mod roster;
mod roster_changes;
mod rules;
mod run_times;
mod shard;
mod shard_table;
mod state;
mod submission;
mod throughput;

pub use action::{Action, Submission, SwapOutcome, WaiterKey};
pub use counters::Counters;
pub use dispatcher::{Dispatcher, ShardOwner};
#[cfg(feature = "mutants")]
pub use mutation::Mutation;
pub use rules::{
    DispatchRules, FirmRules, GroupRules, Placement, Policy, PolicyBuilder, QueueOrder,
};
pub use shard_table::ShardTable;
pub use state::{AgentState, DispatcherState, JobState, JobSummary, PeerState, ShardState};
