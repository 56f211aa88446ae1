//! What happens in the world, and when.

use std::cmp::Ordering;

use hosting::{StartOutcome, TargetPoll, TargetPollOutcome};
use model::{HostUpdate, HostUpdateRequest, Orders, TaskRef};

use crate::fault::Fault;
use crate::target::TargetStart;

/// Something that happens.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A client sends a copy of a job to an entry.
    Send { job: usize },
    /// A client's time for a copy is over.
    GiveUp { job: usize, copy: u32 },
    /// An entry's timer.
    EntryTick { entry: usize, life: u32 },
    /// An entry tries to connect to a host.
    Connect {
        entry: usize,
        host: usize,
        life: u32,
    },
    /// An entry's call has taken too long.
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
    /// A question arrives at an agent.
    Question {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        request: HostUpdateRequest,
    },
    /// The time that a question may wait at an agent is over.
    QuestionDue { host: usize, life: u32, call: u64 },
    /// An update arrives at an entry.
    HostUpdate {
        entry: usize,
        host: usize,
        epoch: u64,
        call: u64,
        orders: Option<u64>,
        update: HostUpdate,
    },
    /// An agent hears that an entry's connection has closed.
    LinkClosed {
        entry: usize,
        host: usize,
        life: u32,
    },
    /// An agent's timer.
    AgentTick { host: usize, life: u32 },
    /// A start arrives at a target.
    TargetStart {
        host: usize,
        life: u32,
        order: TargetStart,
        is_answered: bool,
    },
    /// A stop arrives at a target.
    TargetStop {
        host: usize,
        life: u32,
        task: TaskRef,
        number: u32,
        token: u64,
        is_answered: bool,
    },
    /// The result of a start arrives at an agent.
    StartResult {
        host: usize,
        life: u32,
        task: TaskRef,
        number: u32,
        outcome: StartOutcome,
    },
    /// The answer to a stop arrives at an agent.
    StopResult {
        host: usize,
        life: u32,
        task: TaskRef,
        number: u32,
    },
    /// An agent asks its target.
    TargetPoll { host: usize, life: u32 },
    /// A question arrives at a target.
    TargetPollArrives {
        host: usize,
        life: u32,
        call: u64,
        request: TargetPoll,
        sent_ms: u64,
    },
    /// A target's wait for an end is over.
    TargetPollDue { host: usize, call: u64 },
    /// The result of a question arrives at an agent.
    TargetPollResult {
        host: usize,
        life: u32,
        call: u64,
        sent_ms: u64,
        outcome: TargetPollOutcome,
    },
    /// A run at a target ends.
    RunEnds { host: usize },
    /// A target reports.
    Report { host: usize },
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    Heal(Fault),
}

/// An event with its time; the earliest comes first.
#[derive(Debug, Clone)]
pub(crate) struct Scheduled {
    pub(crate) at_us: u64,
    pub(crate) order: u64,
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
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}
