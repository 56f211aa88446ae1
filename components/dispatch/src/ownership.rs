//! Shard ownership: records in the platform, claims of shards and takeovers.

use model::{EntryInfo, ProcessKey, ShardKey, ShardRecord};

use crate::action::{Action, SwapOutcome};
use crate::dispatcher::{Dispatcher, shard_context};
use crate::mutation::Mutation;
use crate::roster;
use crate::transfer::Assignment;

/// Delay before a failed compare-and-swap is retried, in microseconds.
pub(crate) const RETRY_SWAP_US: u64 = 500_000;

/// Interval at which all agents are checked, in microseconds.
///
/// Short compared with the silence after which an agent is gone, long compared with a task.
const AGENT_REVIEW_INTERVAL_US: u64 = 50_000;

/// Time between two polls above which the process is considered to have been paused, in
/// microseconds.
const PAUSE_THRESHOLD_US: u64 = 500_000;

/// A compare-and-swap that makes this entry the owner of a shard.
#[derive(Debug)]
pub struct Claim {
    record: ShardRecord,
    expected_revision: u64,
    in_flight: bool,
    /// Whether the outcome of an earlier attempt is unknown.
    unknown: bool,
    next_try_us: u64,
}

impl Dispatcher {
    /// Records a response from another entry.
    pub fn peer_responded(&mut self, info: EntryInfo, draining: bool, now_us: u64) {
        if info.key != self.own_info.key {
            self.claims.peer_responded(info, draining, now_us);
        }
    }

    /// Returns whether an entry has responded within the given time and its host has not refused a
    /// connection since.
    #[must_use]
    pub fn has_recent_response(&self, process: ProcessKey, within_us: u64, now_us: u64) -> bool {
        let peer = self.claims.peers.get(&process);
        peer.is_some_and(|peer| !peer.refused && now_us < peer.last_contact_us + within_us)
    }

    /// Records that an entry's host refused a connection.
    pub fn peer_refused(&mut self, process: ProcessKey) {
        self.claims.peer_refused(process);
    }

    /// Records that all shard records have been read from the platform once.
    pub fn mark_records_synced(&mut self) {
        self.claims.is_synced = true;
    }

    /// Applies a shard's record read from the platform.
    pub fn apply_record(
        &mut self,
        record: ShardRecord,
        revision: u64,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let key = record.shard;
        let previous_owner = self.claims.known.get(&key).map(|known| known.record.owner);
        let newer = self.claims.apply_record(record.clone(), revision, now_us);
        let claimed = self.resolve_claim(&record, revision, now_us);
        // A stale record that arrives late must not restore ownership of a shard.
        if !newer && !self.mutations.has(Mutation::AdoptLateRecord) {
            return;
        }
        self.pending_imports.remove(&key);
        let Some(shard) = self.shards.get_mut(&key) else {
            if record.owner == self.own_info.key {
                let assignment = Assignment {
                    record,
                    revision,
                    previous_owner,
                };
                self.accept_assignment(assignment, claimed, now_us, now_unix_ms, actions);
            }
            return;
        };
        let is_own =
            record.owner == self.own_info.key && record.generation == shard.record.generation;
        if is_own {
            let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
            shard.roster_written(&mut cx, record, revision);
            return;
        }
        self.release_shard(&record, now_us, now_unix_ms, actions);
    }

    /// Ends a claim if the record supersedes it; returns whether the claim may have written the
    /// record.
    fn resolve_claim(&mut self, record: &ShardRecord, revision: u64, now_us: u64) -> bool {
        let Some(claim) = self.pending_claims.get_mut(&record.shard) else {
            return false;
        };
        if revision > claim.expected_revision {
            // If no attempt can have succeeded, another entry wrote the record, possibly as a
            // handover to this one.
            let may_be_own = claim.in_flight || claim.unknown;
            self.pending_claims.remove(&record.shard);
            return may_be_own;
        }
        claim.next_try_us = now_us + RETRY_SWAP_US;
        false
    }

    /// Handles the outcome of a compare-and-swap.
    pub fn compare_and_swap_done(
        &mut self,
        key: ShardKey,
        outcome: &SwapOutcome,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.in_flight_swaps.remove(&key);
        if self.pending_claims.contains_key(&key) {
            self.claim_done(key, outcome, now_us, now_unix_ms, actions);
            return;
        }
        let Some(shard) = self.shards.get_mut(&key) else {
            return;
        };
        let Some(swap) = &mut shard.swap else {
            return;
        };
        swap.next_try_us = now_us + RETRY_SWAP_US;
        match outcome {
            SwapOutcome::Done(revision) => {
                let record = swap.record.clone();
                self.apply_record(record, *revision, now_us, now_unix_ms, actions);
            }
            SwapOutcome::Conflict => actions.push(Action::ReadRecord { shard: key }),
            // An earlier attempt whose response was lost may still have taken effect.
            SwapOutcome::NotApplied if swap.unknown => {}
            SwapOutcome::NotApplied => shard.drop_swap(now_us),
            SwapOutcome::Unknown => swap.unknown = true,
        }
    }

    fn claim_done(
        &mut self,
        key: ShardKey,
        outcome: &SwapOutcome,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(claim) = self.pending_claims.get_mut(&key) else {
            return;
        };
        claim.next_try_us = now_us + RETRY_SWAP_US;
        match outcome {
            SwapOutcome::Done(revision) => {
                let record = claim.record.clone();
                // A table received earlier is stale after an unplanned takeover.
                self.received_tables.remove(&key);
                self.apply_record(record, *revision, now_us, now_unix_ms, actions);
            }
            SwapOutcome::Conflict => {
                claim.in_flight = false;
                actions.push(Action::ReadRecord { shard: key });
            }
            SwapOutcome::NotApplied => claim.in_flight = false,
            SwapOutcome::Unknown => {
                claim.in_flight = false;
                claim.unknown = true;
            }
        }
    }

    pub(crate) fn poll_ownership(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.draining && self.mutations.has(Mutation::CutOnDrain) {
            self.fail_waiters(actions);
        }
        self.discount_pause(now_us);
        self.release_confirmed(now_us, now_unix_ms, actions);
        self.finish_pending_imports(now_us, now_unix_ms, actions);
        self.drop_needless_claims(now_us);
        self.create_claims(now_us);
        self.send_claims(now_us, actions);
        if now_us >= self.next_review_us {
            self.next_review_us = now_us + AGENT_REVIEW_INTERVAL_US;
            self.fail_tasks_of_gone_agents(now_us, now_unix_ms, actions);
            self.eject_failing(now_us);
            self.plan_rosters(now_us);
        }
        if self.draining {
            self.plan_handovers(now_us);
        }
        self.change_rosters(now_us, actions);
        self.offer_tables(now_us, actions);
    }

    /// Subtracts a pause of this process from the silence of entries and agents.
    ///
    /// Their messages could not be received during the pause, so it is no sign of a failure.
    fn discount_pause(&mut self, now_us: u64) {
        let pause_us = now_us.saturating_sub(self.last_poll_us);
        if self.last_poll_us > 0 && pause_us > PAUSE_THRESHOLD_US {
            self.claims.discount_pause(pause_us, now_us);
            self.agents.discount_pause(pause_us, now_us);
        }
        self.last_poll_us = now_us;
    }

    /// Drops claims that definitely had no effect if the shard's owner responds again.
    ///
    /// A retry would otherwise take the shard from an owner that is handing it over.
    fn drop_needless_claims(&mut self, now_us: u64) {
        let Self {
            pending_claims,
            in_flight_swaps,
            claims,
            ..
        } = self;
        pending_claims.retain(|key, claim| {
            let has_no_effect =
                !claim.in_flight && !claim.unknown && !in_flight_swaps.contains(key);
            !has_no_effect || claims.is_owner_silent(*key, now_us)
        });
    }

    fn create_claims(&mut self, now_us: u64) {
        if self.draining {
            return;
        }
        for key in self.configured_shards() {
            if self.shards.contains_key(&key) || self.pending_claims.contains_key(&key) {
                continue;
            }
            let count = self.configured_count(key);
            let joining = roster::eligible_members(key, &self.agents, now_us);
            let Some((expected_revision, record)) =
                self.claims
                    .claim(&self.own_info, key, count, joining, now_us)
            else {
                continue;
            };
            self.counters.takeovers += u64::from(expected_revision > 0);
            self.pending_claims.insert(
                key,
                Claim {
                    record,
                    expected_revision,
                    in_flight: false,
                    unknown: false,
                    next_try_us: now_us,
                },
            );
        }
    }

    fn configured_count(&self, key: ShardKey) -> u16 {
        let configured = self
            .rules
            .firm(key.firm)
            .map_or(1, |rules| rules.shard_count);
        self.claims.shard_count(key.firm, configured)
    }

    /// Returns the shards that need an owner.
    ///
    /// A firm's other shards follow only once its first shard has a record, which fixes their
    /// number.
    fn configured_shards(&self) -> Vec<ShardKey> {
        let mut wanted = Vec::new();
        for rules in &self.rules.firms {
            let first = ShardKey {
                firm: rules.firm,
                index: 0,
            };
            wanted.push(first);
            if !self.claims.known.contains_key(&first) {
                continue;
            }
            let count = self.claims.shard_count(rules.firm, rules.shard_count);
            wanted.extend((1..count).map(|index| ShardKey {
                firm: rules.firm,
                index,
            }));
        }
        wanted
    }

    fn send_claims(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for (key, claim) in &mut self.pending_claims {
            if claim.next_try_us > now_us || !self.in_flight_swaps.insert(*key) {
                continue;
            }
            claim.in_flight = true;
            actions.push(Action::CompareAndSwap {
                shard: *key,
                expected_revision: claim.expected_revision,
                record: claim.record.clone(),
            });
        }
    }
}
