//! The decisions of an agent.

mod authority;
mod harness;
mod leases;
mod lives;
mod queueing;
