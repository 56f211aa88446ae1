//! Proof of the promises to callers and operators: recorded histories, a checker for each
//! promise, and a deterministic event queue for fakes at the interfaces.

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
