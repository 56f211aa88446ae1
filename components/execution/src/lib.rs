//! Decisions of the agent that runs next to one target: admits, queues and starts tasks, and
//! records which tasks have started so that none starts twice.
//!
//! A refused or revoked attempt leaves a tombstone: neither it nor an earlier attempt of the task
//! starts later.
//!
//! The crate performs no I/O and reads no clock: the caller passes in events and the current
//! time, and carries out the returned [`AgentAction`]s. See `docs/DESIGN.md` for the protocol.

mod actions;
mod agent;
mod builder;
mod calls;
mod counters;
mod delivery;
mod fence;
mod load;
#[cfg(feature = "mutants")]
mod mutation;
mod outbox;
mod queue;
mod records;
mod results;
mod revoke;
mod start;
mod state;
mod table;
mod target;
mod task;
mod window;

pub use actions::{AgentAction, CallKey, CallOutcome};
pub use agent::Agent;
pub use builder::AgentBuilder;
pub use counters::Counters;
#[cfg(feature = "mutants")]
pub use mutation::Mutation;
pub use state::{AgentState, OwnerState, ShardState};
