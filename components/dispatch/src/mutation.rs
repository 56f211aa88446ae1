//! Deliberate faults with which tests show that they detect a missing guard.

/// A guard that the decisions leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Admits submissions that predate a take-over.
    SkipHorizon,
    /// Acts without evidence of ownership.
    SkipAuthority,
    /// Serves a shard before the agents have answered the fence.
    SkipFenceWait,
    /// Keeps no record of refusals.
    ForgetRefusals,
    /// Sends a task elsewhere for want of an acknowledgement.
    RestartSentTask,
    /// Sends tasks to new agents before the platform has recorded them.
    IgnoreRoster,
    /// Takes another body under the same id for the same job.
    IgnoreBodyDigest,
    /// Answers a job before all its tasks have finished.
    PartialAnswer,
    /// Sends tasks to agents that are leaving.
    PlaceOnDraining,
    /// Puts older rules in force again.
    ConfigGoesBack,
    /// Fails what is in progress at a planned stop.
    CutOnDrain,
    /// Takes in records of shards in any order.
    AdoptLateRecord,
    /// Claims that a job did not run while agents are still to tell.
    RefuseWhileFencing,
}

/// The guards that are left out; none unless the test-only feature is on.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Mutations {
    #[cfg(feature = "mutants")]
    active: Option<Mutation>,
}

impl Mutations {
    /// Tells whether a guard is left out.
    #[cfg(feature = "mutants")]
    pub fn has(self, mutation: Mutation) -> bool {
        self.active == Some(mutation)
    }

    /// Tells whether a guard is left out.
    #[cfg(not(feature = "mutants"))]
    #[allow(clippy::unused_self)]
    pub const fn has(self, _: Mutation) -> bool {
        false
    }

    #[cfg(feature = "mutants")]
    pub fn set(&mut self, mutation: Mutation) {
        self.active = Some(mutation);
    }
}
