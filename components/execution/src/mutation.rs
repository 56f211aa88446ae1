//! Injected faults that verify that the tests detect a missing check.

/// A check that the agent skips.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Accepts starts of an older generation.
    AcceptStaleGeneration,
    /// Accepts starts whose permit ran out.
    IgnorePermit,
    /// Starts a finished task again.
    RestartFinished,
    /// Refuses attempts of starts without recording tombstones.
    SkipTombstones,
    /// Starts tasks after their deadline.
    RunPastDeadline,
    /// Accepts starts while draining.
    AcceptWhileDraining,
    /// Keeps queued tasks when a newer generation fences.
    FenceKeepsQueued,
}
