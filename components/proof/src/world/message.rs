//! Events of a run and the messages between processes.

use dispatch::{Action, DispatchRules, ShardTable, SwapOutcome};
use execution::{AgentAction, CallKey, CallOutcome};
use model::{
    AgentEnvelope, AgentInfo, Answer, EntryInfo, Generation, JobKey, JobSpec, OwnerEnvelope,
    ProcessKey, ShardKey, ShardRecord, TaskKey,
};

use crate::event::CopyKey;
use crate::world::scenario::Injection;

/// Number of an entry or of an agent's place in the run.
pub type Place = usize;

/// A process of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Platform,
    Entry(Place),
    Agent(Place),
}

#[derive(Debug, Clone)]
pub enum Event {
    Entry(Place, EntryEvent),
    Agent(Place, AgentEvent),
    /// A call of the target beside an agent ends.
    CallEnd(Box<CallEnd>),
    Platform(Box<PlatformCall>),
    Client(ClientEvent),
    Inject(Injection, Node, Node),
    /// Stops a fault.
    Heal(Heal),
    StartBase,
    /// Ends chance losses and duplicates.
    EndNoise,
}

#[derive(Debug, Clone)]
pub enum EntryEvent {
    Tick(ProcessKey),
    Copy(CopyKey, Box<JobSpec>),
    Cancel(JobKey),
    Forward {
        from: Place,
        reply_to: ProcessKey,
        to: ProcessKey,
        request: u64,
        spec: Box<JobSpec>,
    },
    ForwardReply {
        to: ProcessKey,
        request: u64,
        answer: Option<Answer>,
    },
    ForwardCancel(JobKey),
    Ping(EntryInfo, bool, Place),
    Pong {
        info: EntryInfo,
        draining: bool,
        rules: Box<DispatchRules>,
        owned: Vec<(ShardKey, Generation)>,
    },
    Refused(ProcessKey),
    Offer {
        from: Place,
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
    /// Another incarnation answered a message meant for an agent.
    AgentEnded(ProcessKey),
    Envelope(Box<AgentEnvelope>),
    SwapReply(ProcessKey, u64, SwapOutcome),
    Records(Box<Snapshot>),
    /// What the entry decided and has not yet carried out.
    Act(ProcessKey, Vec<Action>),
}

#[derive(Debug, Clone)]
pub enum AgentEvent {
    Tick(ProcessKey),
    Envelope(Place, Box<OwnerEnvelope>),
    CallDone(ProcessKey, CallKey, CallOutcome),
    TargetLeaves(ProcessKey),
    TargetReturns(ProcessKey),
    Act(ProcessKey, Vec<AgentAction>),
}

#[derive(Debug, Clone)]
pub struct CallEnd {
    pub agent: Place,
    pub key: ProcessKey,
    pub call: CallKey,
    pub task: TaskKey,
    pub outcome: CallOutcome,
}

/// What the platform holds, in part or in whole.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub records: Vec<(ShardRecord, u64)>,
    pub rules: Option<DispatchRules>,
    /// Whether all records are included.
    pub whole: bool,
}

#[derive(Debug, Clone)]
pub struct PlatformCall {
    pub from: Caller,
    pub request: PlatformRequest,
    /// Whether the answer is lost.
    pub unanswered: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    Entry(Place, ProcessKey),
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
    Submit { job: usize, submission: usize },
    Cancel { job: usize },
    Edit { operator: u32 },
    Published { operator: u32, operation: u64 },
    LeaveTarget { agent: Place },
}

#[derive(Debug, Clone, Copy)]
pub enum Heal {
    Resume(Node),
    Links(Node),
    PlatformUp,
    PlatformFast,
    PlatformAnswers,
    RestartEntry(Place),
    RestartAgent(Place),
    /// Stops an entry as planned, as part of a rolling replacement.
    Replace(Place),
    LimitStop(Place, ProcessKey),
}
