//! Tests of the agent's decisions.

mod harness;
mod memory;
#[cfg(feature = "mutants")]
mod mutants;
mod ownership;
mod scheduling;
mod sequences;
mod starts;
