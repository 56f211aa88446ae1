//! Linearizability of registers, by the Wing-Gong-Lowe search of `todc-utils`.
//!
//! When a history is not linearizable, the search takes time exponential in the number of
//! concurrent operations. Each register therefore has a direct check as well, which is linear but
//! may miss some violations. It runs first; the search runs only on histories that pass it and have
//! at most [`MAX_OPERATIONS`] operations.

pub mod answer;
pub mod register;

use todc_utils::{Action, History, Specification, WGLChecker};

/// Largest number of operations on one register for which the search runs.
pub const MAX_OPERATIONS: usize = 48;

/// An operation with the sequence numbers of its call and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operation<O> {
    /// Sequence number of the call.
    pub called: u64,
    /// Sequence number of the return; `u64::MAX` when it never returned.
    pub returned: u64,
    /// The call and its result.
    pub operation: O,
}

/// Returns whether `operations` have a valid sequential order in which each one takes effect
/// between its call and its return.
#[must_use]
pub fn is_linearizable<S: Specification>(operations: &[Operation<S::Operation>]) -> bool {
    if operations.is_empty() {
        return true;
    }
    let mut actions = Vec::with_capacity(2 * operations.len());
    for (process, operation) in operations.iter().enumerate() {
        let call = Action::Call(operation.operation.clone());
        let response = Action::Response(operation.operation.clone());
        actions.push((operation.called, process, call));
        actions.push((operation.returned, process, response));
    }
    actions.sort_by_key(|(sequence, _, _)| *sequence);
    let actions = actions
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}
