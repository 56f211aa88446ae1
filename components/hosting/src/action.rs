//! Calls that the agent has to make to the target.

use std::rc::Rc;

use model::TaskRef;

use crate::incarnation::TargetIdentity;

/// A call to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a run.
    Start {
        /// Instance name of the target that is meant; another one refuses the call.
        instance: Rc<str>,
        /// Task.
        task: TaskRef,
        /// Number of the run among those of the task on this host; a repeated start has the same.
        /// Unlike `RunId::attempt`, it increases over all entries.
        number: u32,
        /// What the task executes.
        specification: Rc<str>,
        /// End of the lease on the target's clock, in milliseconds.
        lease_end_ms: u64,
        /// Fencing token.
        token: u64,
    },
    /// Stop a run, or prevent its start if that is still on the way.
    Stop {
        /// Instance name of the target that is meant; `None` if the one that answers has not
        /// reported yet.
        instance: Option<Rc<str>>,
        /// Task.
        task: TaskRef,
        /// Number of the run.
        number: u32,
        /// Fencing token.
        token: u64,
    },
    /// Ask whether the target is an incarnation that a report names: poll it by that instance name,
    /// with no wait, no lease and no acknowledgement.
    Check {
        /// The incarnation.
        identity: TargetIdentity,
        /// Fencing token.
        token: u64,
    },
}
