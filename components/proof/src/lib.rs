//! Tests of the promises to callers and operators under faults: recorded histories, a checker for
//! each promise, a deterministic simulation of the system, and the fault matrix that runs it.

pub mod campaign;
pub mod check;
pub mod event;
pub mod fault;
pub mod history;
mod index;
pub mod linear;
pub mod matrix;
pub mod report;
pub mod results;
pub mod seed;
pub mod simnet;
pub mod world;
