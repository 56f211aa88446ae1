//! Events of a history.

use derive_more::Display;
use model::{Answer, Attempt, FirmKey, JobKey, JobMeta, JobSpec, ProcessKey, TaskKey};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::fault::FaultKind;
use crate::results::digest;

/// Identifies one copy of a submission: one request on one connection.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{client}.{number}")]
pub struct CopyKey {
    /// The client that sent the copy.
    pub client: u32,
    /// Number of the request among the client's requests.
    pub number: u64,
}

/// One copy of a submission as sent by a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The copy.
    pub copy: CopyKey,
    /// The entry that the copy was sent to.
    pub entry: ProcessKey,
    /// The job.
    pub meta: JobMeta,
    /// Digests of the payloads in task order.
    pub payload_digests: Vec<u64>,
    /// Time of the deadline on the history's clock.
    pub deadline_us: u64,
}

impl Submission {
    /// Describes a copy of `job` sent to `entry`; `deadline_us` is on the history's clock.
    #[must_use]
    pub fn new(copy: CopyKey, entry: ProcessKey, job: &JobSpec, deadline_us: u64) -> Self {
        Self {
            copy,
            entry,
            meta: job.meta.clone(),
            payload_digests: job.tasks.iter().map(|task| digest(&task.payload)).collect(),
            deadline_us,
        }
    }
}

/// Reason why a client stopped waiting for the answer to a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// The entry was killed; valid only after an [`EventKind::Killed`] of the entry.
    EntryDied,
    /// The network between client and entry was cut.
    NetworkCut,
    /// The client disconnected.
    ClientGone,
    /// The entry refused the connection or the request was never accepted.
    NeverAccepted,
    /// The entry closed the connection of an accepted request without an answer.
    ClosedByEntry,
}

/// Outcome of an operator's compare-and-swap of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapOutcome {
    /// The value was accepted as `revision`.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Another revision than the expected one was in place.
    Conflict,
    /// The value was invalid, so that no swap was attempted.
    Invalid,
    /// The answer was lost; the swap may or may not have taken effect.
    Unknown,
}

/// Kind of an event, with its data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A client sent a copy of a submission.
    Submitted(Box<Submission>),
    /// An entry read a copy completely.
    CopyAccepted(CopyKey),
    /// A client received an answer to a copy.
    Answered {
        /// The copy.
        copy: CopyKey,
        /// The answer.
        answer: Answer,
    },
    /// A client stopped waiting for the answer to a copy.
    CopyLost {
        /// The copy.
        copy: CopyKey,
        /// The reason.
        reason: LossReason,
    },
    /// A client asked to cancel a job.
    CancelRequested(JobKey),
    /// An owner sent a request to start a task to an agent.
    StartSent {
        /// The task.
        task: TaskKey,
        /// Number of the placement.
        attempt: Attempt,
        /// The sender.
        owner: ProcessKey,
        /// The receiver.
        agent: ProcessKey,
    },
    /// A target received a task; the checkers rely on these events alone to know what started.
    TaskStarted(TaskStarted),
    /// A target returned a result.
    TaskFinished {
        /// The task.
        task: TaskKey,
        /// Digest of the result.
        result_digest: u64,
    },
    /// A target reported a task as failed.
    TaskFailed(TaskKey),
    /// The target beside this agent announced itself, possibly again.
    TargetAnnounced(ProcessKey),
    /// The target beside this agent announced that it leaves.
    TargetLeaving(ProcessKey),
    /// A process started.
    ProcessStarted(ProcessKey),
    /// A process was asked to stop gracefully.
    GracefulStop(ProcessKey),
    /// A process ended its graceful stop.
    Stopped(ProcessKey),
    /// A process was killed.
    Killed(ProcessKey),
    /// A process was paused.
    Paused(ProcessKey),
    /// A process was resumed.
    Resumed(ProcessKey),
    /// A process lost every path by which configuration can reach it.
    Unreachable(ProcessKey),
    /// A process regained a path by which configuration can reach it.
    Reachable(ProcessKey),
    /// An operator received the answer that a revision is accepted.
    ConfigAccepted {
        /// The revision.
        revision: u64,
        /// The operator.
        editor: u32,
    },
    /// An operator received the answer that an edit is refused.
    ConfigRefused {
        /// The revision that the edit was based on.
        expected_revision: u64,
        /// The operator.
        editor: u32,
    },
    /// A process put a revision in force.
    ConfigInForce {
        /// The process.
        process: ProcessKey,
        /// The revision.
        revision: u64,
    },
    /// The platform's service went down.
    PlatformDown,
    /// The platform's service recovered.
    PlatformUp,
    /// An operator called compare-and-swap on the configuration.
    SwapCalled {
        /// Number of the operation, unique in the history.
        operation: u64,
        /// The operator.
        operator: u32,
        /// The revision that the edit is based on.
        expected_revision: u64,
        /// Digest of the new value, unique in the history.
        value_digest: u64,
    },
    /// A compare-and-swap returned.
    SwapReturned {
        /// Number of the operation.
        operation: u64,
        /// The outcome that the operator received.
        outcome: SwapOutcome,
    },
    /// An operator called a read of the configuration.
    ReadCalled {
        /// Number of the operation, unique in the history.
        operation: u64,
        /// The operator.
        operator: u32,
    },
    /// A read returned.
    ReadReturned {
        /// Number of the operation.
        operation: u64,
        /// The revision read; zero before the first swap.
        revision: u64,
        /// Digest of the value read; zero before the first swap.
        value_digest: u64,
    },
    /// A dump or list made for one firm showed these jobs.
    Dumped {
        /// The firm.
        firm: FirmKey,
        /// The jobs shown.
        jobs: Vec<JobKey>,
    },
    /// A fault was injected.
    FaultInjected {
        /// Kind of the fault.
        kind: FaultKind,
        /// The firm to whose work the fault was confined, if it was.
        firm: Option<FirmKey>,
    },
    /// The run ended; an answer that was due earlier and is missing is a violation.
    Ended,
}

/// A task as received by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStarted {
    /// The task.
    pub task: TaskKey,
    /// Number of the placement.
    pub attempt: Attempt,
    /// The agent beside the target.
    pub agent: ProcessKey,
    /// Digest of the payload.
    pub payload_digest: u64,
    /// Time of the submission under which the agent started the task, when known.
    pub submitted_unix_ms: Option<u64>,
}
