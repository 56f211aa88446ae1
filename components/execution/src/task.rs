//! Record of one task.

use bytes::Bytes;
use model::{Attempt, RefusalReason, TaskOutcome};

use crate::actions::CallKey;

#[derive(Debug)]
pub(crate) struct Task {
    pub index: u16,
    /// Newest attempt that was refused, revoked or dropped at a fence; it and earlier attempts must
    /// not start.
    pub tombstoned: Option<Attempt>,
    pub state: State,
}

#[derive(Debug)]
pub(crate) enum State {
    /// Neither queued nor started; stores a refusal until the owner acknowledges it.
    Idle {
        unacknowledged: Option<(Attempt, RefusalReason)>,
    },
    Queued(QueuedTask),
    Running(RunningTask),
    Finished(FinishedTask),
}

#[derive(Debug)]
pub(crate) struct QueuedTask {
    pub attempt: Attempt,
    pub payload: Bytes,
    pub deadline_us: u64,
    pub sequence: u64,
    pub expected_us: u64,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningTask {
    pub attempt: Attempt,
    pub call: CallKey,
    pub started_us: u64,
    pub expected_us: u64,
    pub aborted: bool,
}

#[derive(Debug)]
pub(crate) struct FinishedTask {
    pub attempt: Attempt,
    /// `None` once the result was dropped to bound memory.
    pub outcome: Option<TaskOutcome>,
    pub ran_us: u64,
    pub delivery: Delivery,
}

/// Delivery of an outcome to the owner of the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Resent until acknowledged.
    Unacknowledged,
    /// Included in the answer to a fence; not resent, because the new owner repeats the fence
    /// until it has the answer.
    Fenced,
    /// The owner acknowledged the outcome.
    Received,
}

impl Task {
    pub fn new(index: u16) -> Self {
        Self {
            index,
            tombstoned: None,
            state: State::Idle {
                unacknowledged: None,
            },
        }
    }

    pub fn has_started(&self) -> bool {
        matches!(self.state, State::Running(_) | State::Finished(_))
    }

    /// Returns the attempt whose outcome or refusal the owner has not acknowledged.
    pub fn unacknowledged(&self) -> Option<Attempt> {
        match &self.state {
            State::Idle { unacknowledged } => unacknowledged.map(|(attempt, _)| attempt),
            State::Finished(task) if task.delivery == Delivery::Unacknowledged => {
                Some(task.attempt)
            }
            _ => None,
        }
    }

    pub fn result_bytes(&self) -> usize {
        match &self.state {
            State::Finished(task) => task.outcome.as_ref().map_or(0, outcome_bytes),
            _ => 0,
        }
    }

    /// Tombstones `attempt` and all earlier ones; returns the newest tombstoned attempt.
    pub fn raise_tombstone(&mut self, attempt: Attempt) -> Attempt {
        let newest = self.tombstoned.map_or(attempt, |known| known.max(attempt));
        self.tombstoned = Some(newest);
        newest
    }

    /// Tombstones `attempt` and returns the newest tombstoned attempt, or `None` if `attempt`
    /// may still run or the task has started.
    pub fn tombstone_unless_pending(&mut self, attempt: Attempt) -> Option<Attempt> {
        match &self.state {
            State::Idle { .. } => Some(self.raise_tombstone(attempt)),
            State::Queued(queued) if attempt < queued.attempt => {
                Some(self.raise_tombstone(attempt))
            }
            _ => None,
        }
    }
}

pub(crate) fn outcome_bytes(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Done(result) => result.len(),
        TaskOutcome::Failed(detail) | TaskOutcome::Unknown(detail) => detail.len(),
    }
}
