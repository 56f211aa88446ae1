//! Actions that an agent requests from its caller, and the outcomes that the caller reports.

use bytes::Bytes;
use model::{AgentEnvelope, Attempt, FirmKey, TaskKey};

slotmap::new_key_type! {
    /// Identifies one call to the target; unique within one agent.
    pub struct CallKey;
}

/// An effect that the agent's caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Sends an envelope to the entry in its `to` field.
    Send(AgentEnvelope),
    /// Calls the target with one task.
    Invoke {
        /// Key under which the outcome is reported.
        call: CallKey,
        /// The task.
        task: TaskKey,
        /// The attempt that starts.
        attempt: Attempt,
        /// Id of the job as chosen by the client.
        job_id: String,
        /// The firm that submitted the job.
        firm: FirmKey,
        /// Body for the target.
        payload: Bytes,
        /// Timeout of the call, counted from its start.
        timeout_us: u64,
        /// Job deadline on the agent's monotonic clock.
        deadline_us: u64,
    },
    /// Cancels a call; its outcome is still reported.
    Abort {
        /// The call.
        call: CallKey,
    },
}

/// How a call to the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target returned a result.
    Done(Bytes),
    /// The target reported that the task failed.
    Failed(String),
    /// The target provably did not start the task.
    NotStarted(String),
    /// The task may or may not have run.
    Unknown(String),
}
