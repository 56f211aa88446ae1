//! Counters of events by cause, kept separately for each firm.

use model::{FirmKey, RefusalReason};
use rustc_hash::FxHashMap;
use serde::Serialize;

/// Counts events since the agent started.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls to the target.
    pub invoked: u64,
    /// Calls that ended with an outcome.
    pub finished: u64,
    /// Calls that ended without starting the task.
    pub not_started: u64,
    /// Starts of tasks that were already queued, running or finished.
    pub duplicates: u64,
    /// Fences and starts of an older generation, and revocations, acknowledgements and settlements
    /// that are not from the current owner.
    pub stale: u64,
    /// Fences and starts with the newest generation from a process that does not own it.
    pub conflicting: u64,
    /// Starts and revocations that were dropped at the record limit.
    pub unrecorded: u64,
    /// Starts without tasks, and messages whose job does not belong to the shard they name.
    pub misplaced: u64,
    /// Outcomes of calls that are not in flight.
    pub late_outcomes: u64,
    /// Messages meant for another incarnation.
    pub misaddressed: u64,
    /// Outcomes and refusals that were resent.
    pub resent: u64,
    /// Results dropped to bound memory.
    pub results_dropped: u64,
    /// Refusals by reason.
    pub refused: FxHashMap<RefusalReason, u64>,
}

impl Counters {
    pub(crate) fn count_refusal(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }
}

/// Counters of the process and of each firm.
#[derive(Debug, Default)]
pub(crate) struct CounterSet {
    pub process: Counters,
    pub firms: FxHashMap<FirmKey, Counters>,
}

impl CounterSet {
    pub fn firm(&mut self, firm: FirmKey) -> &mut Counters {
        self.firms.entry(firm).or_default()
    }
}
