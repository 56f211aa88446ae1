//! Decisions of an entry: shard ownership, admission control, task placement and answers to
//! clients.
//!
//! The crate is deterministic: it does no I/O and reads neither the clock nor system randomness.
//! Callers pass in events and the current time and carry out the returned [`Action`]s.

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
mod mutation;
mod outcomes;
mod ownership;
mod placement;
mod queue;
mod records;
mod recovery;
mod roster;
mod roster_changes;
mod rules;
mod run_times;
mod shard;
mod state;
mod submission;
mod throughput;
mod transfer;

pub use action::{Action, Submission, SwapOutcome, WaiterKey};
pub use counters::Counters;
pub use dispatcher::{Dispatcher, Route};
pub use handover::ShardTable;
#[cfg(feature = "mutants")]
pub use mutation::Mutation;
pub use rules::{DispatchRules, FirmRules, GroupRules, Order, Placement, Policy, PolicyBuilder};
pub use state::{AgentState, DispatcherState, JobState, JobSummary, PeerState, ShardState};
