//! Deliberate faults for mutation tests, which check that a missing guard is detected.

/// A guard that the dispatcher skips.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Admits submissions dated before the horizon of a takeover.
    SkipHorizon,
    /// Acts without authority over the shard.
    SkipAuthority,
    /// Serves a shard before agents have answered the fence.
    SkipFenceWait,
    /// Keeps no record of refusals.
    DropRefusals,
    /// Requeues a sent task whose acknowledgement is missing, so that another agent may get it.
    RestartSentTask,
    /// Sends tasks to new agents before the roster in the platform lists them.
    IgnoreRoster,
    /// Treats a submission with the same id and another body as a copy of the job.
    IgnoreBodyDigest,
    /// Answers a job when the first of its tasks finishes.
    PartialAnswer,
    /// Sends tasks to draining agents.
    PlaceOnDraining,
    /// Applies rules older than those in force.
    RevertConfig,
    /// Fails jobs in progress when draining begins.
    InterruptOnDrain,
    /// Accepts shard records that arrive out of order.
    AdoptLateRecord,
    /// Answers that a job did not run before all agents have answered the fence.
    RefuseWhileFencing,
}

/// The skipped guard, if any; always none without the `mutants` feature.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Mutations {
    #[cfg(feature = "mutants")]
    active: Option<Mutation>,
}

impl Mutations {
    /// Returns whether a guard is skipped.
    #[cfg(feature = "mutants")]
    pub fn has(self, mutation: Mutation) -> bool {
        self.active == Some(mutation)
    }

    /// Returns whether a guard is skipped.
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
