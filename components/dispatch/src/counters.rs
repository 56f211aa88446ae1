//! Event counters of an entry.

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Jobs admitted.
    pub admitted: u64,
    /// Jobs answered as complete.
    pub completed: u64,
    /// Jobs answered as failed after admission.
    pub failed: u64,
    /// Jobs refused at admission.
    pub refused: u64,
    /// Resubmissions of known jobs.
    pub resubmitted: u64,
    /// Submissions with the id of a known job and another body.
    pub conflicts: u64,
    /// Tasks sent to agents.
    pub tasks_sent: u64,
    /// Start messages sent.
    pub start_messages: u64,
    /// Tasks resent to the same agent because the acknowledgement was missing.
    pub tasks_resent: u64,
    /// Tasks refused by agents before they started.
    pub tasks_refused: u64,
    /// Tasks finished.
    pub tasks_finished: u64,
    /// Outcomes that matched no task in progress.
    pub outcomes_stray: u64,
    /// Agent messages for another process, for a shard not owned here, or from an unknown agent.
    pub messages_stray: u64,
    /// Takeovers begun.
    pub takeovers: u64,
    /// Shards lost to another owner without a planned handover.
    pub deposed: u64,
    /// Agents ejected.
    pub ejections: u64,
    /// Envelopes sent to agents.
    pub envelopes_sent: u64,
    /// Envelopes received from agents.
    pub envelopes_received: u64,
}
