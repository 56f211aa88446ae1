//! The dispatcher: state and entry points of an entry's decisions.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    AgentEnvelope, AgentInfo, AgentMessage, Answer, EntryInfo, FailureKind, FailureReason, FirmKey,
    Generation, HEARTBEAT_INTERVAL_MS, IDLE_HEARTBEAT_INTERVAL_MS, JobKey, OwnerMessage,
    ProcessKey, Rules, ShardHeartbeat, ShardKey,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::{Action, Submission, WaiterKey};
use crate::agents::{AgentKey, Agents, RULES_RESEND_US};
use crate::claims::{Claims, OwnerHint};
use crate::counters::Counters;
use crate::handover::ShardTable;
use crate::mutation::{Mutation, Mutations};
use crate::ownership::Claim;
use crate::rules::{DispatchRules, Policy};
use crate::run_times::RunTimes;
use crate::shard::Shard;
use crate::state::PeerState;
use crate::transfer::{PendingImport, TableOffer};

/// The entry that decides about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// This entry owns the shard.
    Own(ShardKey),
    /// Another entry owns the shard.
    Other {
        /// Incarnation of the owner.
        owner: ProcessKey,
        /// Address of the owner, as `ip:port`.
        address: String,
    },
    /// No owner is known.
    Unknown,
}

/// Makes all decisions of one entry. Takes events and the current time, returns actions.
pub struct Dispatcher {
    pub(crate) own_info: EntryInfo,
    pub(crate) agents: Agents,
    pub(crate) run_times: RunTimes,
    pub(crate) rules: DispatchRules,
    pub(crate) policy: Policy,
    pub(crate) counters: Counters,
    pub(crate) rng: SmallRng,
    pub(crate) shards: BTreeMap<ShardKey, Shard>,
    pub(crate) claims: Claims,
    pub(crate) pending_claims: BTreeMap<ShardKey, Claim>,
    /// Shards with a compare-and-swap in flight; one per shard, so that an outcome is never
    /// attributed to another write.
    pub(crate) in_flight_swaps: BTreeSet<ShardKey>,
    pub(crate) received_tables: BTreeMap<ShardKey, ShardTable>,
    pub(crate) pending_imports: BTreeMap<ShardKey, PendingImport>,
    pub(crate) offers: BTreeMap<ShardKey, TableOffer>,
    pub(crate) draining: bool,
    pub(crate) next_review_us: u64,
    pub(crate) last_poll_us: u64,
    pub(crate) mutations: Mutations,
    next_cleanup_us: u64,
}

/// Borrows the dispatcher's fields that a shard needs, apart from the shards themselves.
macro_rules! shard_context {
    ($self:ident, $now_us:expr, $now_unix_ms:expr, $actions:expr) => {
        $crate::shard::ShardContext {
            now_us: $now_us,
            now_unix_ms: $now_unix_ms,
            agents: &mut $self.agents,
            run_times: &mut $self.run_times,
            rules: &$self.rules,
            policy: &$self.policy,
            counters: &mut $self.counters,
            rng: &mut $self.rng,
            mutations: $self.mutations,
            actions: $actions,
        }
    };
}
pub(crate) use shard_context;

/// Interval at which gone agents and expired records are removed, in microseconds.
const CLEANUP_INTERVAL_US: u64 = 1_000_000;

impl Dispatcher {
    /// Builds the dispatcher of an entry that owns no shards yet.
    #[must_use]
    pub fn new(own_info: EntryInfo, policy: Policy, seed: u64) -> Self {
        Self {
            own_info,
            agents: Agents::default(),
            run_times: RunTimes::default(),
            rules: DispatchRules::default(),
            policy,
            counters: Counters::default(),
            rng: SmallRng::seed_from_u64(seed),
            shards: BTreeMap::new(),
            claims: Claims::default(),
            pending_claims: BTreeMap::new(),
            in_flight_swaps: BTreeSet::new(),
            received_tables: BTreeMap::new(),
            pending_imports: BTreeMap::new(),
            offers: BTreeMap::new(),
            draining: false,
            next_review_us: 0,
            last_poll_us: 0,
            mutations: Mutations::default(),
            next_cleanup_us: 0,
        }
    }

    /// Skips one guard.
    #[cfg(feature = "mutants")]
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutations.set(mutation);
    }

    /// Returns the incarnation of this entry.
    #[must_use]
    pub fn process_key(&self) -> ProcessKey {
        self.own_info.key
    }

    /// Returns the description of this entry that it announces.
    #[must_use]
    pub fn info(&self) -> &EntryInfo {
        &self.own_info
    }

    /// Returns the event counters since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> &DispatchRules {
        &self.rules
    }

    pub(crate) fn agents(&self) -> &Agents {
        &self.agents
    }

    pub(crate) fn shards(&self) -> impl Iterator<Item = &Shard> {
        self.shards.values()
    }

    pub(crate) fn shard(&self, key: ShardKey) -> Option<&Shard> {
        self.shards.get(&key)
    }

    pub(crate) fn peer_states(&self, now_us: u64) -> Vec<PeerState> {
        self.claims
            .peers
            .values()
            .map(|peer| PeerState {
                entry: peer.info.key.to_string(),
                address: peer.info.address.clone(),
                silent_ms: now_us.saturating_sub(peer.last_contact_us) / 1_000,
            })
            .collect()
    }

    /// Applies rules with a newer revision and ignores others; returns whether they were applied.
    pub fn apply_rules(&mut self, rules: DispatchRules) -> bool {
        let reverts = self.mutations.has(Mutation::ConfigGoesBack);
        if rules.revision <= self.rules.revision && !reverts {
            return false;
        }
        self.rules = rules;
        true
    }

    /// Sets the firms that this entry serves; an empty list means all.
    pub fn serve_firms(&mut self, firms: Vec<FirmKey>) {
        self.own_info.firms = firms;
    }

    /// Returns the shard that holds a job.
    #[must_use]
    pub fn shard_of(&self, key: JobKey) -> ShardKey {
        let configured = self
            .rules
            .firm(key.firm)
            .map_or(1, |rules| rules.shard_count);
        key.shard(self.claims.shard_count(key.firm, configured))
    }

    /// Returns which entry decides about a job.
    #[must_use]
    pub fn route(&self, key: JobKey) -> Route {
        let shard = self.shard_of(key);
        if self.shards.contains_key(&shard) {
            return Route::Own(shard);
        }
        match self.claims.owner(shard) {
            Some((owner, address)) if owner != self.own_info.key => Route::Other {
                owner,
                address: address.to_owned(),
            },
            _ => Route::Unknown,
        }
    }

    /// Records the shards that another entry reports as its own, to route during a platform outage.
    pub fn owner_reported(
        &mut self,
        owner: &EntryInfo,
        owned: impl IntoIterator<Item = (ShardKey, Generation)>,
    ) {
        for (shard, generation) in owned {
            self.confirm_handover(owner.key, shard, generation);
            let hint = OwnerHint {
                generation,
                owner: owner.key,
                address: owner.address.clone(),
            };
            self.claims.record_hint(shard, hint);
        }
    }

    /// Returns the shards whose records name this entry as the owner, with their generations.
    pub fn owned(&self) -> impl Iterator<Item = (ShardKey, Generation)> {
        let shards = self.shards.values().map(|shard| &shard.record);
        let pending = self.pending_imports.values().map(PendingImport::record);
        let records = shards.chain(pending);
        records.map(|record| (record.shard, record.generation))
    }

    /// Returns the owners of all known shards, with their addresses, for agents.
    pub fn owners(&self) -> impl Iterator<Item = (ShardKey, ProcessKey, &str)> {
        self.claims.known.values().map(|known| {
            let record = &known.record;
            (record.shard, record.owner, record.owner_address.as_str())
        })
    }

    /// Handles an agent's announcement.
    pub fn agent_announced(&mut self, mut info: AgentInfo, now_us: u64) {
        info.draining &= !self.mutations.has(Mutation::PlaceOnDraining);
        self.agents.announce(info, now_us);
    }

    /// Records that an agent's host refused a connection: the process has ended.
    pub fn mark_agent_refused(&mut self, process: ProcessKey) {
        self.agents.mark_refused(process);
    }

    /// Records that another incarnation answered a message for an agent: the agent has ended.
    pub fn mark_agent_ended(&mut self, process: ProcessKey) {
        self.agents.mark_ended(process);
    }

    /// Decides about a submission; reroutes it if another entry owns the shard.
    pub fn submit(
        &mut self,
        submission: Submission,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let key = self.shard_of(submission.spec.meta.key);
        let Some(shard) = self.shards.get_mut(&key) else {
            actions.push(Action::Reroute {
                waiter: submission.waiter,
            });
            return;
        };
        let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
        shard.submit(&mut cx, submission);
    }

    /// Cancels a job; returns its final answer, or none if this entry does not know the job.
    pub fn cancel(
        &mut self,
        key: JobKey,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Answer> {
        let shard_key = self.shard_of(key);
        let shard = self.shards.get_mut(&shard_key)?;
        let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
        shard.cancel(&mut cx, key)
    }

    /// Removes a waiting request from its job; the job continues.
    pub fn remove_waiter(&mut self, key: JobKey, waiter: WaiterKey) {
        let shard_key = self.shard_of(key);
        if let Some(shard) = self.shards.get_mut(&shard_key) {
            shard.remove_waiter(key, waiter);
        }
    }

    /// Handles messages from an agent.
    pub fn agent_envelope(
        &mut self,
        envelope: AgentEnvelope,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.counters.envelopes_received += 1;
        if envelope.to != self.own_info.key {
            self.counters.messages_stray += 1;
            return;
        }
        let Some(agent) = self.agents.find(envelope.from) else {
            self.counters.messages_stray += 1;
            return;
        };
        if let Some(view) = self.agents.get_mut(agent) {
            view.record_contact(now_us);
            // An envelope without messages does not report the load.
            if !envelope.messages.is_empty() {
                view.load = envelope.load;
            }
            if self.mutations.has(Mutation::PlaceOnDraining) {
                view.load.ready = true;
                view.load.window = view.load.window.max(4);
            }
        }
        self.send_newer_rules(agent, now_us);
        for message in envelope.messages {
            self.agent_message(envelope.from, message, now_us, now_unix_ms, actions);
        }
    }

    /// Sends the rules to an agent that reports an older revision.
    fn send_newer_rules(&mut self, agent: AgentKey, now_us: u64) {
        let rules = &self.rules.agent_rules;
        let Some(view) = self.agents.get_mut(agent) else {
            return;
        };
        // The message may be lost, so it is resent until the agent reports the revision.
        let is_sent = view.sent_rules_revision >= rules.revision && now_us < view.resend_rules_us;
        if view.load.config_revision >= rules.revision || is_sent {
            return;
        }
        view.sent_rules_revision = rules.revision;
        view.resend_rules_us = now_us + RULES_RESEND_US;
        view.push(OwnerMessage::Configure(rules.clone()));
    }

    fn agent_message(
        &mut self,
        from: ProcessKey,
        message: AgentMessage,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if let AgentMessage::HeartbeatAck(ack) = &message {
            for shard in self.shards.values_mut() {
                let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
                shard.handle_message(&mut cx, from, AgentMessage::HeartbeatAck(ack.clone()));
            }
            return;
        }
        let Some(key) = shard_of_message(&message) else {
            return;
        };
        let Some(shard) = self.shards.get_mut(&key) else {
            self.counters.messages_stray += 1;
            return;
        };
        let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
        if shard.handle_message(&mut cx, from, message).is_some() {
            actions.push(Action::ReadRecord { shard: key });
        }
    }

    /// Does all work that is due and sends queued messages.
    pub fn poll(&mut self, now_us: u64, now_unix_ms: u64, actions: &mut Vec<Action>) {
        self.poll_ownership(now_us, now_unix_ms, actions);
        for key in crate::fairness::placement_order(&self.shards, &self.rules) {
            let Some(shard) = self.shards.get_mut(&key) else {
                continue;
            };
            let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
            shard.poll(&mut cx);
        }
        self.send_heartbeats(now_us);
        self.remove_expired(now_us, now_unix_ms);
        self.counters.envelopes_sent +=
            self.agents
                .flush(self.own_info.key, &self.own_info.address, actions);
    }

    /// Returns the next time at which [`Self::poll`] has work, in microseconds.
    #[must_use]
    pub fn next_wake_us(&self, now_us: u64) -> u64 {
        let beat_us = now_us + HEARTBEAT_INTERVAL_MS * 1_000 / 2;
        self.shards
            .values()
            .filter_map(Shard::next_wake_us)
            .fold(beat_us, u64::min)
    }

    fn send_heartbeats(&mut self, now_us: u64) {
        for key in self.agents.due_heartbeats(now_us) {
            let Some(view) = self.agents.get(key) else {
                continue;
            };
            let process = view.info.key;
            let group = view.info.target.as_ref().map(|target| target.group);
            let beats: Vec<ShardHeartbeat> = self
                .shards
                .values()
                .filter_map(|shard| shard.heartbeat_for(process, group))
                .collect();
            let busy = view.outstanding > 0 || beats.iter().any(|beat| beat.backlog > 0);
            let interval_ms = if busy {
                HEARTBEAT_INTERVAL_MS
            } else {
                IDLE_HEARTBEAT_INTERVAL_MS
            };
            let next_us = now_us + interval_ms * 1_000;
            self.agents.queue_heartbeat(key, beats, now_us, next_us);
        }
    }

    fn remove_expired(&mut self, now_us: u64, now_unix_ms: u64) {
        if now_us < self.next_cleanup_us {
            return;
        }
        self.next_cleanup_us = now_us + CLEANUP_INTERVAL_US;
        self.agents.remove_gone(now_us);
        for shard in self.shards.values_mut() {
            shard.records.expire(now_unix_ms);
        }
    }

    /// Ejects agents that fail far more often than their group, if the policy has ejection on.
    pub(crate) fn eject_failing(&mut self, now_us: u64) {
        if !self.policy.ejection {
            return;
        }
        let ejected = crate::health::eject_failing(&mut self.agents, &self.rules, now_us);
        self.counters.ejections += u64::from(ejected);
    }

    /// Answers all waiting requests because the process stops before draining is complete.
    pub fn fail_waiters(&mut self, actions: &mut Vec<Action>) {
        for shard in self.shards.values_mut() {
            let jobs = shard.jobs.values_mut();
            let mut waiters: Vec<WaiterKey> = jobs.flat_map(|job| job.waiters.drain(..)).collect();
            let parked = shard.parked.drain(..);
            waiters.extend(parked.map(|parked| parked.submission.waiter));
            for waiter in waiters {
                let answer = Answer::failed(
                    FailureKind::MayHaveRun,
                    FailureReason::Draining,
                    "the process stopped before the job was done",
                );
                actions.push(Action::Answer { waiter, answer });
            }
        }
    }

    /// Returns the rules for agents.
    #[must_use]
    pub fn agent_rules(&self) -> &Rules {
        &self.rules.agent_rules
    }
}

fn shard_of_message(message: &AgentMessage) -> Option<ShardKey> {
    match message {
        AgentMessage::Fenced { shard, .. }
        | AgentMessage::Accepted { shard, .. }
        | AgentMessage::Refused { shard, .. }
        | AgentMessage::RevokeFailed { shard, .. }
        | AgentMessage::Finished { shard, .. } => Some(*shard),
        AgentMessage::HeartbeatAck(_) => None,
    }
}
