//! Planned handover of shards.
//!
//! The owner writes the next owner into the shard's record and keeps serving in the meantime,
//! since agents still acknowledge its heartbeats. When it sees the written record it stops and
//! sends its table, which is therefore final. The next owner waits for the table before it fences
//! the agents. If the table does not arrive, it takes over as from a failed owner.

use model::{Generation, ProcessKey, ShardKey, ShardRecord};

use crate::action::Action;
use crate::dispatcher::{Dispatcher, shard_context};
use crate::handover::ShardTable;
use crate::shard::{PendingSwap, Phase, Shard};

/// Time for which the next owner waits for a shard's table and the previous one offers it, in
/// microseconds.
///
/// Covers a lost response of the platform: the owner then sees its write through the watch.
const TABLE_TIMEOUT_US: u64 = 3_000_000;

/// Delay before a table that was not accepted is offered again, in microseconds.
const OFFER_RETRY_US: u64 = 50_000;

/// A shard whose record names this entry as the owner.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub record: ShardRecord,
    pub revision: u64,
    pub previous_owner: Option<ProcessKey>,
}

/// A shard assigned to this entry whose table has not arrived yet.
#[derive(Debug)]
pub(crate) struct PendingImport {
    assignment: Assignment,
    until_us: u64,
}

impl PendingImport {
    pub(crate) fn record(&self) -> &ShardRecord {
        &self.assignment.record
    }
}

/// A table that is offered to the next owner.
#[derive(Debug)]
pub(crate) struct TableOffer {
    table: ShardTable,
    to: ProcessKey,
    address: String,
    in_flight: bool,
    next_try_us: u64,
    until_us: u64,
}

impl Dispatcher {
    /// Begins draining: hands over the shards and claims no others.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether no job, parked submission or table offer is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.offers.is_empty() && self.shards.values().all(Shard::is_idle)
    }

    /// Returns whether this entry owns no shard and has handed over all tables.
    #[must_use]
    pub fn has_released_all(&self) -> bool {
        self.shards.is_empty() && self.pending_imports.is_empty() && self.offers.is_empty()
    }

    /// Returns whether draining is complete: nothing is in progress, and no shard is left that
    /// another entry could own.
    #[must_use]
    pub fn is_drained(&self, now_us: u64) -> bool {
        self.is_idle() && (self.has_released_all() || !self.has_successor(now_us))
    }

    /// Returns whether another entry could own any of this entry's shards.
    #[must_use]
    pub fn has_successor(&self, now_us: u64) -> bool {
        self.shards
            .keys()
            .any(|key| self.claims.best_peer(*key, now_us).is_some())
    }

    /// Records that the next owner of a shard has seen the record that names it.
    ///
    /// This makes up for a lost response of the platform before the next owner stops waiting for
    /// the table.
    pub(crate) fn confirm_handover(
        &mut self,
        owner: ProcessKey,
        shard: ShardKey,
        generation: Generation,
    ) {
        let shard = self.shards.get_mut(&shard);
        if let Some(swap) = shard.and_then(|shard| shard.swap.as_mut()) {
            swap.confirmed |= swap.record.owner == owner && swap.record.generation == generation;
        }
    }

    /// Releases shards whose next owners have seen the records that name them.
    pub(crate) fn release_confirmed(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let swaps = self.shards.values().filter_map(|shard| shard.swap.as_ref());
        let records: Vec<ShardRecord> = swaps
            .filter(|swap| swap.confirmed)
            .map(|swap| swap.record.clone())
            .collect();
        for record in records {
            self.release_shard(&record, now_us, now_unix_ms, actions);
        }
    }

    /// Plans swaps that write the next owners into the records of this entry's shards.
    pub(crate) fn plan_handovers(&mut self, now_us: u64) {
        for shard in self.shards.values_mut() {
            if shard.phase != Phase::Serving || shard.swap.is_some() || now_us < shard.next_swap_us
            {
                continue;
            }
            let Some(peer) = self.claims.best_peer(shard.key, now_us) else {
                continue;
            };
            let mut record = shard.record.clone();
            record.generation = record.generation.next();
            record.owner = peer.info.key;
            record.owner_address.clone_from(&peer.info.address);
            shard.swap = Some(PendingSwap {
                record,
                unknown: false,
                confirmed: false,
                next_try_us: now_us,
            });
        }
    }

    /// Releases a shard whose record names another owner; offers the table if this was planned.
    pub(crate) fn release_shard(
        &mut self,
        record: &ShardRecord,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let key = record.shard;
        let Some(shard) = self.shards.remove(&key) else {
            return;
        };
        let is_planned = shard.swap.as_ref().is_some_and(|swap| {
            swap.record.owner == record.owner && swap.record.generation == record.generation
        });
        let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
        if is_planned {
            let offer = TableOffer {
                table: shard.export(&cx),
                to: record.owner,
                address: record.owner_address.clone(),
                in_flight: false,
                next_try_us: now_us,
                until_us: now_us + TABLE_TIMEOUT_US,
            };
            self.offers.insert(key, offer);
        } else {
            cx.counters.deposed += 1;
        }
        shard.close(&mut cx);
    }

    /// Sends tables to the next owners.
    pub(crate) fn offer_tables(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for (key, offer) in &mut self.offers {
            if offer.in_flight || offer.next_try_us > now_us {
                continue;
            }
            offer.in_flight = true;
            actions.push(Action::HandOver {
                shard: *key,
                to: offer.to,
                address: offer.address.clone(),
                table: Box::new(offer.table.clone()),
            });
        }
    }

    /// Handles the response to an offer of a shard's table.
    pub fn table_offer_answered(&mut self, key: ShardKey, accepted: bool, now_us: u64) {
        let Some(offer) = self.offers.get_mut(&key) else {
            return;
        };
        if accepted || now_us >= offer.until_us {
            self.offers.remove(&key);
            return;
        }
        offer.in_flight = false;
        offer.next_try_us = now_us + OFFER_RETRY_US;
    }

    /// Stores a table offered by the previous owner of a shard; returns whether it is accepted.
    pub fn accept_table(&mut self, key: ShardKey, table: ShardTable) -> bool {
        if self.shards.contains_key(&key) || self.pending_claims.contains_key(&key) {
            return false;
        }
        self.received_tables.insert(key, table);
        true
    }

    /// Starts an assigned shard at once, or waits for its table after a planned handover.
    pub(crate) fn accept_assignment(
        &mut self,
        assignment: Assignment,
        claimed: bool,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_first_generation = assignment.record.generation == Generation(1);
        if is_first_generation || claimed {
            self.start_shard(assignment, None, now_us, now_unix_ms, actions);
            return;
        }
        let pending = PendingImport {
            assignment,
            until_us: now_us + TABLE_TIMEOUT_US,
        };
        self.pending_imports
            .insert(pending.assignment.record.shard, pending);
    }

    /// Starts shards whose tables have arrived or are no longer expected.
    pub(crate) fn finish_pending_imports(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let due: Vec<ShardKey> = self
            .pending_imports
            .iter()
            .filter(|(key, pending)| {
                now_us >= pending.until_us
                    || self.matching_table(**key, &pending.assignment).is_some()
                    || self.is_refused(pending.assignment.previous_owner)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(PendingImport { assignment, .. }) = self.pending_imports.remove(&key) else {
                continue;
            };
            let is_usable = self.matching_table(key, &assignment).is_some();
            let table = self.received_tables.remove(&key).filter(|_| is_usable);
            self.start_shard(assignment, table, now_us, now_unix_ms, actions);
        }
    }

    fn matching_table(&self, key: ShardKey, assignment: &Assignment) -> Option<&ShardTable> {
        let generation = assignment.record.generation;
        self.received_tables
            .get(&key)
            .filter(|table| table.generation.next() == generation)
    }

    fn is_refused(&self, process: Option<ProcessKey>) -> bool {
        let peer = process.and_then(|process| self.claims.peers.get(&process));
        peer.is_some_and(|peer| peer.refused)
    }

    fn start_shard(
        &mut self,
        assignment: Assignment,
        table: Option<ShardTable>,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Assignment {
            record, revision, ..
        } = assignment;
        let key = record.shard;
        let is_first_generation = record.generation == Generation(1);
        let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
        let mut shard = Shard::new(record, revision, !is_first_generation, &mut cx);
        if let Some(table) = table {
            shard.import(&mut cx, table);
        }
        self.shards.insert(key, shard);
    }
}
