//! Counts of what happened, by cause.

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
    /// Copies of known jobs.
    pub resubmitted: u64,
    /// Ids used again with another body.
    pub conflicts: u64,
    /// Tasks sent to agents.
    pub tasks_sent: u64,
    /// Start messages sent.
    pub start_messages: u64,
    /// Tasks sent again to the same agent for want of an acknowledgement.
    pub tasks_resent: u64,
    /// Tasks refused by agents before they started.
    pub tasks_refused: u64,
    /// Tasks finished.
    pub tasks_finished: u64,
    /// Outcomes that matched no waiting task.
    pub outcomes_stray: u64,
    /// Messages of agents that are not on the roster.
    pub messages_stray: u64,
    /// Take-overs begun.
    pub takeovers: u64,
    /// Shards lost to another owner.
    pub deposed: u64,
    /// Agents ejected.
    pub ejections: u64,
    /// Envelopes sent to agents.
    pub envelopes_sent: u64,
    /// Envelopes received from agents.
    pub envelopes_received: u64,
}
