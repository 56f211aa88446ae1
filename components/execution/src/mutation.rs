//! Deliberate faults with which tests show that they detect a missing check.

/// A check that the agent leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Accepts starts of an older generation.
    AcceptStaleGeneration,
    /// Accepts starts whose permit ran out.
    IgnorePermit,
    /// Starts a finished task again.
    RestartFinished,
    /// Records no refused attempts.
    ForgetTombstones,
    /// Starts tasks after their deadline.
    RunPastDeadline,
    /// Accepts starts while draining.
    WorkWhileDraining,
    /// Keeps queued tasks when a newer generation fences.
    FenceKeepsQueued,
}
