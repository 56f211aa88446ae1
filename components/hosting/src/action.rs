//! What an agent has to do.

use std::rc::Rc;

use model::TaskRef;

/// A call of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostAction {
    /// Start a run.
    Start {
        /// Task.
        task: TaskRef,
        /// Number of the run, as the target counts.
        number: u32,
        /// What the task executes.
        specification: Rc<str>,
        /// End of the lease on the target's clock, in milliseconds.
        lease_end_ms: u64,
        /// Fencing token.
        token: u64,
    },
    /// Stop a run, or keep it from starting.
    Stop {
        /// Task.
        task: TaskRef,
        /// Number of the run, as the target counts.
        number: u32,
        /// Fencing token.
        token: u64,
    },
}
