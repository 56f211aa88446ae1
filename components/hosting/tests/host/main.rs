//! Tests of the decisions of an agent.

mod authority;
mod crashes;
mod drain;
mod evacuation;
mod harness;
mod incarnations;
mod leases;
mod neighbors;
mod queueing;
mod retries;
mod stops;
