//! Events of a simulated run, including the messages between processes.

use dispatch::{Action, DispatchRules, ShardTable, SwapOutcome};
use execution::{AgentAction, CallKey, CallOutcome};
use model::{
    AgentEnvelope, AgentInfo, Answer, EntryInfo, Generation, JobKey, JobSpec, OwnerEnvelope,
    ProcessKey, ShardKey, ShardRecord, TaskKey,
};

use crate::event::CopyKey;
use crate::world::scenario::Injection;

/// Index of an entry or an agent in the run; a restart keeps the index but changes the key.
pub type NodeIndex = usize;

/// A process of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Platform,
    Entry(NodeIndex),
    Agent(NodeIndex),
}

/// An event of the queue.
#[derive(Debug, Clone)]
pub enum Event {
    Entry(NodeIndex, EntryEvent),
    Agent(NodeIndex, AgentEvent),
    /// A call of the target beside an agent ends.
    CallEnd(Box<CallEnd>),
    Platform(Box<PlatformCall>),
    Client(ClientEvent),
    Inject(Injection, Node, Node),
    /// Ends or continues a fault.
    FollowUp(FollowUp),
    /// Triggers the base event of the scenario.
    Base,
    /// Ends the random losses and duplicates between entries and agents.
    EndBackgroundFaults,
}

/// An event of an entry: a message, a timer or the execution of decisions.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    Tick(ProcessKey),
    /// A client's copy of a submission.
    Copy(CopyKey, Box<JobSpec>),
    Cancel(JobKey),
    /// A copy for the owner `to`, to be answered to the entry `reply_to`.
    Forward {
        from: NodeIndex,
        reply_to: ProcessKey,
        to: ProcessKey,
        request: u64,
        spec: Box<JobSpec>,
    },
    /// The owner's answer, or `None` if the process does not own the job's shard.
    ForwardReply {
        to: ProcessKey,
        request: u64,
        answer: Option<Answer>,
    },
    ForwardCancel(JobKey),
    Ping(EntryInfo, bool, NodeIndex),
    Pong {
        info: EntryInfo,
        draining: bool,
        rules: Box<DispatchRules>,
        owned: Vec<(ShardKey, Generation)>,
    },
    /// The connection to a process was refused.
    Refused(ProcessKey),
    /// A stopping owner offers its table of a shard to `to`.
    Offer {
        from: NodeIndex,
        reply_to: ProcessKey,
        to: ProcessKey,
        number: u64,
        shard: ShardKey,
        table: Box<ShardTable>,
    },
    OfferReply {
        to: ProcessKey,
        number: u64,
        accepted: bool,
    },
    Announce(AgentInfo),
    /// A message reached a later incarnation of the agent it was addressed to.
    AgentEnded(ProcessKey),
    Envelope(Box<AgentEnvelope>),
    /// The platform's answer to a compare-and-swap.
    SwapReply(ProcessKey, u64, SwapOutcome),
    Records(Box<Snapshot>),
    /// Executes actions that the entry decided on before a fault was injected.
    ExecuteActions(ProcessKey, Vec<Action>),
}

/// An event of an agent: a message, a timer or the execution of decisions.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    Tick(ProcessKey),
    Envelope(NodeIndex, Box<OwnerEnvelope>),
    CallDone(ProcessKey, CallKey, CallOutcome),
    TargetLeaves(ProcessKey),
    TargetReturns(ProcessKey),
    /// Executes actions that the agent decided on before a fault was injected.
    ExecuteActions(ProcessKey, Vec<AgentAction>),
}

/// The end of a task at a target.
#[derive(Debug, Clone)]
pub struct CallEnd {
    pub agent: NodeIndex,
    pub key: ProcessKey,
    pub call: CallKey,
    pub task: TaskKey,
    pub outcome: CallOutcome,
}

/// Records and rules of the platform, all or some of them.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub records: Vec<(ShardRecord, u64)>,
    pub rules: Option<DispatchRules>,
    /// Whether all records are included.
    pub is_complete: bool,
}

#[derive(Debug, Clone)]
pub struct PlatformCall {
    pub from: Caller,
    pub request: PlatformRequest,
    /// Whether the answer is lost.
    pub is_answer_lost: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    Entry(NodeIndex, ProcessKey),
    Operator(u32),
}

#[derive(Debug, Clone)]
pub enum PlatformRequest {
    Swap {
        number: u64,
        expected_revision: u64,
        record: ShardRecord,
    },
    Read,
    Publish {
        operation: u64,
        expected_revision: u64,
        value_digest: u64,
    },
    ReadConfig {
        operation: u64,
    },
}

#[derive(Debug, Clone, Copy)]
pub enum ClientEvent {
    Submit {
        job: usize,
        submission: usize,
    },
    Cancel {
        job: usize,
    },
    Edit {
        operator: u32,
    },
    /// The timeout of an operator's edit has passed.
    EditTimeout {
        operator: u32,
        operation: u64,
    },
    LeaveTarget {
        agent: NodeIndex,
    },
}

/// The end of a fault or the next step of one.
#[derive(Debug, Clone, Copy)]
pub enum FollowUp {
    Resume(Node),
    Links(Node),
    PlatformUp,
    PlatformFast,
    PlatformAnswers,
    RestartEntry(NodeIndex),
    RestartAgent(NodeIndex),
    /// Stops an entry gracefully, as part of a rolling replacement.
    Replace(NodeIndex),
    /// Ends a graceful stop past its time limit, if possible.
    EnforceStopLimit(NodeIndex, ProcessKey),
}
