//! What an agent asks its caller to do, and what the caller reports back.

use bytes::Bytes;
use model::{AgentEnvelope, Attempt, FirmKey, TaskKey};

slotmap::new_key_type! {
    /// Identifies one call of the target; never used twice by one agent.
    pub struct CallKey;
}

/// An effect that the agent's caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Sends an envelope to the entry that it names.
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
        /// Time after which the call is given up, in microseconds from now.
        timeout_us: u64,
        /// Job deadline on the agent's monotonic clock.
        expires_us: u64,
    },
    /// Cancels a call; its outcome is still reported.
    Abort {
        /// The call.
        call: CallKey,
    },
}

/// How a call of the target ended.
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
