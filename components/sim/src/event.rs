//! Events of the simulation, ordered by time.

use std::cmp::Ordering;

use hosting::{StartOutcome, TargetIdentity, TargetPoll, TargetPollOutcome};
use model::{Evacuations, HostUpdate, HostUpdateRequest, Orders, TaskRef};

use crate::agent::TargetPollCall;
use crate::fault::Fault;
use crate::target::TargetStart;

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A client submits a job, for the first time or as a retry.
    Send { job: usize },
    /// A client's timeout for an attempt expires.
    ClientTimeout { job: usize, attempt: u32 },
    /// An entry's periodic timer fires.
    EntryTick { entry: usize, incarnation: u32 },
    /// An entry tries to connect to a host.
    Connect {
        entry: usize,
        host: usize,
        incarnation: u32,
    },
    /// The timeout of an entry's call to an agent expires.
    CallTimeout {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
    },
    /// Orders arrive at an agent.
    Orders {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        orders: Orders,
    },
    /// An entry's long poll for an update arrives at an agent.
    UpdateRequest {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        request: HostUpdateRequest,
    },
    /// The time expires for which an agent may hold an update request open.
    UpdateWaitExpired {
        host: usize,
        incarnation: u32,
        call: u64,
    },
    /// An update arrives at an entry; `orders` is the number of the orders that it answers.
    HostUpdate {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        orders: Option<u64>,
        update: Box<HostUpdate>,
    },
    /// An agent detects that an entry's connection has closed.
    LinkClosed {
        entry: usize,
        host: usize,
        incarnation: u32,
    },
    /// An agent's periodic timer fires.
    AgentTick { host: usize, incarnation: u32 },
    /// A start order arrives at a target.
    TargetStart {
        host: usize,
        incarnation: u32,
        order: TargetStart,
        is_answered: bool,
    },
    /// A stop order arrives at a target.
    TargetStop {
        host: usize,
        incarnation: u32,
        task: TaskRef,
        number: u32,
        token: u64,
        is_answered: bool,
    },
    /// The result of a start order arrives at an agent.
    StartResult {
        host: usize,
        incarnation: u32,
        task: TaskRef,
        number: u32,
        outcome: StartOutcome,
    },
    /// The answer to a stop order arrives at an agent.
    StopResult {
        host: usize,
        incarnation: u32,
        task: TaskRef,
        number: u32,
    },
    /// An agent polls its target; `lane` counts its polls in parallel.
    TargetPoll {
        host: usize,
        incarnation: u32,
        lane: usize,
    },
    /// An agent's poll arrives at its target.
    TargetPollArrives {
        host: usize,
        request: TargetPoll,
        poll: TargetPollCall,
    },
    /// The time expires for which a target may hold a poll open until a run ends.
    TargetPollWaitExpired { host: usize, call: u64 },
    /// The result of a poll arrives at an agent.
    TargetPollResult {
        host: usize,
        poll: TargetPollCall,
        outcome: TargetPollOutcome,
    },
    /// The answer of a target to a question about its incarnation arrives at an agent.
    TargetCheckResult {
        host: usize,
        incarnation: u32,
        sent_ms: u64,
        identity: TargetIdentity,
        outcome: TargetPollOutcome,
    },
    /// A run at a target ends or the target's lease expires.
    RunEnds { host: usize },
    /// A target sends its periodic report to the agent.
    Report { host: usize },
    /// A set of evacuations, read from the store, reaches an entry.
    EntryEvacuations {
        entry: usize,
        incarnation: u32,
        evacuations: Evacuations,
    },
    /// A set of evacuations from the store or an entry reaches an agent.
    AgentEvacuations {
        host: usize,
        incarnation: u32,
        evacuations: Evacuations,
    },
    /// A fault begins.
    FaultStart(Fault),
    /// A fault ends.
    FaultEnd(Fault),
}

/// An event with its time.
///
/// The order is reversed, so that the maximum of a heap is the earliest event; events of the same
/// time keep the order in which they were scheduled.
#[derive(Debug, Clone)]
pub(crate) struct Scheduled {
    pub(crate) at_us: u64,
    pub(crate) sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}
