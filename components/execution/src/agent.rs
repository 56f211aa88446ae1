//! State and entry points of the agent, and the steps that every event runs through.

use model::{JobKey, OwnerEnvelope, OwnerMessage, ProcessKey, RefusalReason, ShardKey, TargetInfo};
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use crate::actions::{AgentAction, CallKey};
use crate::builder::Settings;
use crate::counters::CounterSet;
use crate::delivery::ResendQueue;
use crate::fence::Shard;
#[cfg(feature = "mutants")]
use crate::mutation::Mutation;
use crate::outbox::Outbox;
use crate::queue::Queue;
use crate::results::DroppableResults;
use crate::table::{Table, TaskSlot};
use crate::target::Target;
use crate::window::Owners;

/// Minimum time for which a draining agent keeps answering.
///
/// An owner whose start message was lost sends it again and needs a refusal to know that the
/// task did not start.
const MIN_DRAIN_US: u64 = 2_000_000;

/// Decides which tasks start at one target.
///
/// Every event method takes the time of the caller's monotonic clock and appends the resulting
/// actions to `actions`. A time before that of the previous event is treated as equal to it.
#[derive(Debug)]
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) now_us: u64,
    pub(crate) now_unix_ms: u64,
    pub(crate) target: Target,
    pub(crate) draining: bool,
    pub(crate) drain_started_us: u64,
    /// Time at which the drain began or, if later, the last call ended.
    pub(crate) no_calls_since_us: u64,
    pub(crate) config_revision: u64,
    pub(crate) shards: FxHashMap<ShardKey, Shard>,
    pub(crate) table: Table,
    pub(crate) calls: SlotMap<CallKey, TaskSlot>,
    pub(crate) queue: Queue,
    pub(crate) results: DroppableResults,
    pub(crate) resends: ResendQueue,
    pub(crate) owners: Owners,
    pub(crate) outbox: Outbox,
    pub(crate) counters: CounterSet,
}

impl Agent {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            now_us: 0,
            now_unix_ms: 0,
            target: Target::default(),
            draining: false,
            drain_started_us: 0,
            no_calls_since_us: 0,
            config_revision: 0,
            shards: FxHashMap::default(),
            table: Table::default(),
            calls: SlotMap::with_key(),
            queue: Queue::default(),
            results: DroppableResults::default(),
            resends: ResendQueue::default(),
            owners: Owners::default(),
            outbox: Outbox::default(),
            counters: CounterSet::default(),
        }
    }

    /// Returns the process key of this incarnation of the agent.
    #[must_use]
    pub fn key(&self) -> ProcessKey {
        self.settings.key
    }

    /// Returns the revision of the rules that are in effect.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// Handles the messages of one owner.
    ///
    /// An envelope for another incarnation is counted and has no other effect.
    pub fn handle(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        envelope: OwnerEnvelope,
        actions: &mut Vec<AgentAction>,
    ) {
        self.advance_wall_clock(now_unix_ms);
        self.advance(now_us);
        if envelope.to == self.settings.key {
            for message in envelope.messages {
                self.handle_message(envelope.from, message, actions);
            }
        } else {
            self.counters.process.misaddressed += envelope.messages.len() as u64;
        }
        self.dispatch_and_send(actions);
    }

    /// Records the target's announcement, which is valid until `expires_us`.
    pub fn target_announced(
        &mut self,
        now_us: u64,
        info: TargetInfo,
        expires_us: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        self.target.announce(info, expires_us);
        self.advance(now_us);
        self.divide_windows();
        self.dispatch_and_send(actions);
    }

    /// Removes the target and refuses all queued tasks.
    pub fn target_left(&mut self, now_us: u64, actions: &mut Vec<AgentAction>) {
        self.advance(now_us);
        self.remove_target();
        self.dispatch_and_send(actions);
    }

    /// Stops accepting tasks and refuses the queued ones; running tasks finish.
    pub fn drain(&mut self, now_us: u64, actions: &mut Vec<AgentAction>) {
        self.advance(now_us);
        if !self.draining {
            self.draining = true;
            self.drain_started_us = self.now_us;
            self.no_calls_since_us = self.now_us;
            self.refuse_all_queued(RefusalReason::Draining);
        }
        self.dispatch_and_send(actions);
    }

    /// Returns whether a draining agent may stop.
    ///
    /// True if, as of the last event, the minimum drain time is over, so that owners could resend
    /// lost starts, no task is queued or running, and every outcome is acknowledged or the drain
    /// wait is over.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let is_delivered =
            self.table.unacknowledged() == 0 || self.now_us >= self.acknowledgement_limit_us();
        let is_min_drain_over = self.now_us >= self.drain_started_us.saturating_add(MIN_DRAIN_US);
        self.draining
            && is_min_drain_over
            && self.calls.is_empty()
            && self.queue.len() == 0
            && is_delivered
    }

    /// Handles expired deadlines and leases, sends due resends and starts queued tasks.
    pub fn tick(&mut self, now_us: u64, now_unix_ms: u64, actions: &mut Vec<AgentAction>) {
        self.advance_wall_clock(now_unix_ms);
        self.advance(now_us);
        self.resend_due();
        self.dispatch_and_send(actions);
    }

    /// Returns the time at which [`Self::tick`] is to be called next, if any.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        let has_waiting = self.queue.len() > 0;
        let is_finishing_drain = self.draining && self.calls.is_empty() && !self.is_drained();
        let min_drain_end_us = self.drain_started_us.saturating_add(MIN_DRAIN_US);
        let drain_wake_us = is_finishing_drain.then(|| match min_drain_end_us > self.now_us {
            true => min_drain_end_us,
            false => self.acknowledgement_limit_us(),
        });
        [
            self.target.expires_us(),
            self.queue.earliest_deadline_us(),
            self.target
                .backoff_until_us(self.now_us)
                .filter(|_| has_waiting),
            self.resends.next_due_us(),
            drain_wake_us,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn handle_message(
        &mut self,
        from: ProcessKey,
        message: OwnerMessage,
        actions: &mut Vec<AgentAction>,
    ) {
        match message {
            OwnerMessage::Fence(fence) => self.fence(from, &fence),
            OwnerMessage::Heartbeat(heartbeat) => self.heartbeat(from, &heartbeat),
            OwnerMessage::Start(start) => self.start(from, start),
            OwnerMessage::Revoke {
                shard,
                generation,
                tasks,
                abort,
            } => {
                self.revoke(from, (shard, generation), &tasks, abort, actions);
            }
            OwnerMessage::Received { shard, tasks } => self.received(from, shard, &tasks),
            OwnerMessage::Settled { shard, jobs } => self.settled(from, shard, &jobs),
            OwnerMessage::Configure(rules) => self.configure(&rules),
        }
    }

    fn settled(&mut self, from: ProcessKey, shard: ShardKey, jobs: &[JobKey]) {
        if !self.is_owner(shard, from) {
            self.counters.firm(shard.firm).stale += 1;
            return;
        }
        for &key in jobs {
            self.settle_job(shard, key);
        }
        self.drop_excess_results();
    }

    /// Moves the clock forward and handles a lost target, expired owners and passed deadlines.
    pub(crate) fn advance(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        if self
            .target
            .expires_us()
            .is_some_and(|expires_us| expires_us <= self.now_us)
        {
            self.remove_target();
        }
        if self.owners.remove_expired(self.now_us) {
            self.divide_windows();
        }
        #[cfg(feature = "mutants")]
        if self.settings.mutation == Some(Mutation::RunPastDeadline) {
            return;
        }
        for task_slot in self.queue.overdue(self.now_us) {
            self.refuse_queued(task_slot, RefusalReason::DeadlinePassed);
        }
    }

    /// Starts queued tasks within the call limit, then sends the collected messages.
    pub(crate) fn dispatch_and_send(&mut self, actions: &mut Vec<AgentAction>) {
        self.dispatch(actions);
        let key = self.settings.key;
        for (to, messages) in self.outbox.take() {
            let load = self.load(to);
            Outbox::push_envelopes(key, to, load, messages, actions);
        }
    }

    fn remove_target(&mut self) {
        self.target.clear();
        self.refuse_all_queued(RefusalReason::TargetDown);
    }

    fn refuse_all_queued(&mut self, reason: RefusalReason) {
        for task_slot in self.queue.tasks() {
            self.refuse_queued(task_slot, reason);
        }
    }

    /// Returns when a draining agent stops waiting for acknowledgements.
    fn acknowledgement_limit_us(&self) -> u64 {
        self.no_calls_since_us
            .saturating_add(self.settings.drain_wait_us)
    }
}
