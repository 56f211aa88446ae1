//! Tests of the decisions of an agent.

mod authority;
mod crashes;
mod doubt;
mod drain;
mod evacuation;
mod harness;
mod held_runs;
mod incarnations;
mod leases;
mod neighbors;
mod queueing;
mod retries;
mod stops;
