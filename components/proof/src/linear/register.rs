//! The configuration as a register with compare-and-swap.
//!
//! Every swap increases the revision, by one or more. The register starts as revision zero with the
//! value digest zero, and value digests are unique.

use std::collections::BTreeMap;

use todc_utils::Specification;

use crate::event::SwapOutcome;
use crate::linear::{MAX_OPERATIONS, Operation, is_linearizable};

/// An operation on the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterOperation {
    /// Compare-and-swap.
    Swap {
        /// The revision expected.
        expected_revision: u64,
        /// Digest of the new value.
        value_digest: u64,
        /// The outcome; an invalid swap is no operation.
        outcome: SwapOutcome,
    },
    /// Read.
    Read {
        /// The revision read.
        revision: u64,
        /// Digest of the value read.
        value_digest: u64,
    },
}

/// State of the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegisterState {
    revision: Revision,
    value_digest: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Revision {
    Known(u64),
    /// Set by a swap whose answer was lost: some revision greater than this one.
    After(u64),
}

impl Revision {
    fn may_be(self, revision: u64) -> bool {
        match self {
            Self::Known(known) => known == revision,
            Self::After(previous) => previous < revision,
        }
    }
}

/// Sequential behaviour of the register.
#[derive(Debug)]
pub struct RegisterSpecification;

impl Specification for RegisterSpecification {
    type State = RegisterState;
    type Operation = RegisterOperation;

    fn init() -> RegisterState {
        RegisterState {
            revision: Revision::Known(0),
            value_digest: 0,
        }
    }

    fn apply(operation: &RegisterOperation, state: &RegisterState) -> (bool, RegisterState) {
        match *operation {
            RegisterOperation::Read {
                revision,
                value_digest,
            } => {
                let is_valid =
                    state.revision.may_be(revision) && state.value_digest == value_digest;
                let read = RegisterState {
                    revision: Revision::Known(revision),
                    value_digest,
                };
                (is_valid, if is_valid { read } else { *state })
            }
            RegisterOperation::Swap {
                expected_revision,
                value_digest,
                outcome,
            } => apply_swap(state, expected_revision, value_digest, outcome),
        }
    }
}

fn apply_swap(
    state: &RegisterState,
    expected_revision: u64,
    value_digest: u64,
    outcome: SwapOutcome,
) -> (bool, RegisterState) {
    let may_match = state.revision.may_be(expected_revision);
    let revision = match outcome {
        SwapOutcome::Accepted { revision } if may_match && revision > expected_revision => {
            Revision::Known(revision)
        }
        SwapOutcome::Accepted { .. } => return (false, *state),
        SwapOutcome::Conflict => {
            return (state.revision != Revision::Known(expected_revision), *state);
        }
        // A swap that never takes effect is ordered last, where no read observes it.
        SwapOutcome::Unknown if may_match => Revision::After(expected_revision),
        SwapOutcome::Unknown | SwapOutcome::Invalid => return (true, *state),
    };
    (
        true,
        RegisterState {
            revision,
            value_digest,
        },
    )
}

/// Checks operations on the register; swaps that returned as invalid are ignored.
///
/// Histories with more than [`MAX_OPERATIONS`] operations get the direct check only: values
/// belong to their revisions, accepted swaps form a chain, and no operation observes an older
/// revision than one that returned before its call. It does not check conflicts.
///
/// # Errors
///
/// Returns a description of the first violation found.
pub fn check_register(operations: &[Operation<RegisterOperation>]) -> Result<(), String> {
    let mut operations = operations.to_vec();
    operations.retain(|operation| outcome(&operation.operation) != Some(SwapOutcome::Invalid));
    for operation in &mut operations {
        if outcome(&operation.operation) == Some(SwapOutcome::Unknown) {
            operation.returned = u64::MAX;
        }
    }
    check_chain(&operations)?;
    check_values(&operations)?;
    check_order(&operations)?;
    if operations.len() > MAX_OPERATIONS || is_linearizable::<RegisterSpecification>(&operations) {
        return Ok(());
    }
    Err("operations on the configuration are not linearizable".to_owned())
}

fn outcome(operation: &RegisterOperation) -> Option<SwapOutcome> {
    match operation {
        RegisterOperation::Swap { outcome, .. } => Some(*outcome),
        RegisterOperation::Read { .. } => None,
    }
}

fn check_chain(operations: &[Operation<RegisterOperation>]) -> Result<(), String> {
    let has_unknown = operations
        .iter()
        .any(|one| outcome(&one.operation) == Some(SwapOutcome::Unknown));
    let mut swaps = operations.iter().filter_map(accepted).collect::<Vec<_>>();
    swaps.sort_unstable();
    let mut previous = 0;
    for (revision, expected_revision, _) in swaps {
        if expected_revision < previous || revision <= expected_revision {
            return Err(format!(
                "revision {revision} overwrote the edit accepted as {previous}"
            ));
        }
        if expected_revision > previous && !has_unknown {
            return Err(format!(
                "revision {revision} is based on {expected_revision}, which was never accepted"
            ));
        }
        previous = revision;
    }
    Ok(())
}

/// Returns the revision, the expected revision and the value digest of an accepted swap.
fn accepted(operation: &Operation<RegisterOperation>) -> Option<(u64, u64, u64)> {
    match operation.operation {
        RegisterOperation::Swap {
            expected_revision,
            value_digest,
            outcome: SwapOutcome::Accepted { revision },
        } => Some((revision, expected_revision, value_digest)),
        _ => None,
    }
}

fn check_values(operations: &[Operation<RegisterOperation>]) -> Result<(), String> {
    let mut values = BTreeMap::from([(0, 0)]);
    let accepted = operations.iter().filter_map(accepted);
    values.extend(accepted.map(|(revision, _, value_digest)| (revision, value_digest)));
    let lost: Vec<_> = operations
        .iter()
        .filter_map(|one| match one.operation {
            RegisterOperation::Swap {
                value_digest,
                outcome: SwapOutcome::Unknown,
                ..
            } => Some(value_digest),
            _ => None,
        })
        .collect();
    for operation in operations {
        let RegisterOperation::Read {
            revision,
            value_digest,
        } = operation.operation
        else {
            continue;
        };
        let known = values.get(&revision).copied();
        let is_lost = known.is_none() && lost.contains(&value_digest);
        if known != Some(value_digest) && !is_lost {
            return Err(format!(
                "read of revision {revision} returned a value never written to it"
            ));
        }
        values.insert(revision, value_digest);
    }
    Ok(())
}

fn check_order(operations: &[Operation<RegisterOperation>]) -> Result<(), String> {
    // A read of a revision is ordered after the swap that wrote it.
    let rank = |operation: &Operation<RegisterOperation>| match operation.operation {
        RegisterOperation::Read { revision, .. } => Some((revision, true)),
        RegisterOperation::Swap { .. } => accepted(operation).map(|swap| (swap.0, false)),
    };
    let ranked = |operation| rank(operation).map(|rank| (rank, operation));
    let ranked: Vec<_> = operations.iter().filter_map(ranked).collect();
    for (lower_rank, lower) in &ranked {
        let is_overtaken = |(higher_rank, higher): &&(_, &Operation<RegisterOperation>)| {
            higher_rank > lower_rank && higher.returned < lower.called
        };
        if let Some((higher_rank, _)) = ranked.iter().find(is_overtaken) {
            let (newer, older) = (higher_rank.0, lower_rank.0);
            return Err(format!(
                "revision {older} was observed after {newer} had returned"
            ));
        }
    }
    Ok(())
}
