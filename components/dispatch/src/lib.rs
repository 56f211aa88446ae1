//! Decisions of an entry: who owns a shard, which jobs are admitted, where tasks run,
//! and what is answered.
//!
//! Nothing here does I/O, reads a clock or draws randomness from the system: events and
//! the time go in, [`Action`]s come out.

mod action;
mod admission;
mod agents;
mod arrivals;
mod authority;
mod claims;
mod counters;
mod dispatcher;
mod fairness;
mod handover;
mod health;
mod job;
mod learning;
mod mutation;
mod outcomes;
mod ownership;
mod placement;
mod queue;
mod records;
mod recovery;
mod roster;
mod rules;
mod shard;
mod state;
mod submission;
mod swaps;
mod throughput;
mod transfer;

pub use action::{Action, Submission, SwapOutcome, WaiterKey};
pub use counters::Counters;
pub use dispatcher::{Dispatcher, Route};
pub use handover::Table;
#[cfg(feature = "mutants")]
pub use mutation::Mutation;
pub use rules::{DispatchRules, FirmRules, GroupRules, Order, Placement, Policy, PolicyBuilder};
pub use state::{AgentState, DispatcherState, JobState, JobSummary, PeerState, ShardState};
