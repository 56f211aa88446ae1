//! Claims, take-overs, changes of the roster, and planned hand-overs.

use model::{EntryInfo, MemberState, ProcessKey, ShardKey, ShardRecord};

use crate::action::{Action, SwapOutcome};
use crate::agents::AgentKey;
use crate::dispatcher::{Dispatcher, cx};
use crate::handover::Table;
use crate::roster::{self, MemberView};
use crate::shard::{Cx, PendingSwap, Phase, Shard};

/// Pause before a failed compare-and-swap is tried again, in microseconds.
const RETRY_SWAP_US: u64 = 500_000;

/// Interval at which all agents are looked through, in microseconds.
///
/// Short against the silence that makes an agent gone, long against a task.
const REVIEW_INTERVAL_US: u64 = 50_000;

/// A claim of a shard that is under way.
#[derive(Debug)]
pub struct Claim {
    record: ShardRecord,
    expected_revision: u64,
    in_flight: bool,
    /// Whether the outcome of an earlier try is not known.
    unknown: bool,
    next_try_us: u64,
}

impl Dispatcher {
    /// Notes that another entry answered.
    pub fn peer_heard(&mut self, info: EntryInfo, draining: bool, now_us: u64) {
        if info.key != self.me.key {
            self.claims.peer_heard(info, draining, now_us);
        }
    }

    /// Notes that an entry's host refused a connection.
    pub fn peer_refused(&mut self, process: ProcessKey) {
        self.claims.peer_refused(process);
    }

    /// Notes that all records in the platform have been read once.
    pub fn records_synced(&mut self) {
        self.claims.synced = true;
    }

    /// Takes in a shard's record as it stands in the platform.
    pub fn record_seen(
        &mut self,
        record: ShardRecord,
        revision: u64,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let key = record.shard;
        self.claims.record_seen(record.clone(), revision, now_us);
        self.settle_claim(&record, revision, now_us);
        let Some(shard) = self.shards.get_mut(&key) else {
            self.adopt(record, revision, now_us, now_unix_ms, actions);
            return;
        };
        if revision <= shard.revision {
            return;
        }
        let mine = record.owner == self.me.key && record.generation == shard.record.generation;
        let mut cx = cx!(self, now_us, now_unix_ms, actions);
        if mine {
            shard.roster_written(&mut cx, record, revision);
            return;
        }
        let Some(shard) = self.shards.remove(&key) else {
            return;
        };
        if shard.phase != Phase::Yielding {
            cx.counters.deposed += 1;
        }
        shard.dissolve(&mut cx);
    }

    /// Ends a claim whose outcome the record shows.
    fn settle_claim(&mut self, record: &ShardRecord, revision: u64, now_us: u64) {
        let Some(claim) = self.claiming.get_mut(&record.shard) else {
            return;
        };
        if revision > claim.expected_revision {
            // The record may be that of this claim, and then a table taken in earlier is void.
            if claim.in_flight || claim.unknown {
                self.imports.remove(&record.shard);
            }
            self.claiming.remove(&record.shard);
            return;
        }
        claim.next_try_us = now_us + RETRY_SWAP_US;
    }

    /// Takes charge of a shard whose record names this entry.
    fn adopt(
        &mut self,
        record: ShardRecord,
        revision: u64,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if record.owner != self.me.key || self.shards.contains_key(&record.shard) {
            return;
        }
        let key = record.shard;
        let generation = record.generation;
        let first = generation.0 == 1;
        let mut cx = cx!(self, now_us, now_unix_ms, actions);
        let mut shard = Shard::new(record, revision, !first, &mut cx);
        let import = self
            .imports
            .remove(&key)
            .filter(|table| table.generation.next() == generation);
        if let Some(table) = import {
            shard.import(&mut cx, table);
        }
        self.shards.insert(key, shard);
    }

    /// Takes in the outcome of a compare-and-swap.
    pub fn swap_done(
        &mut self,
        key: ShardKey,
        outcome: &SwapOutcome,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if self.claiming.contains_key(&key) {
            self.claim_done(key, outcome, now_us, now_unix_ms, actions);
            return;
        }
        let Some(shard) = self.shards.get_mut(&key) else {
            return;
        };
        let Some(swap) = &mut shard.swap else {
            return;
        };
        swap.in_flight = false;
        swap.next_try_us = now_us + RETRY_SWAP_US;
        match outcome {
            SwapOutcome::Done(revision) => {
                let record = swap.record.clone();
                self.record_seen(record, *revision, now_us, now_unix_ms, actions);
            }
            SwapOutcome::Conflict => actions.push(Action::Read { shard: key }),
            // An earlier try whose answer was lost may still have taken effect.
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
        let Some(claim) = self.claiming.get_mut(&key) else {
            return;
        };
        claim.in_flight = false;
        claim.next_try_us = now_us + RETRY_SWAP_US;
        match outcome {
            SwapOutcome::Done(revision) => {
                let record = claim.record.clone();
                // A table taken in earlier is void once this entry takes over by force.
                self.imports.remove(&key);
                self.record_seen(record, *revision, now_us, now_unix_ms, actions);
            }
            SwapOutcome::Conflict => actions.push(Action::Read { shard: key }),
            SwapOutcome::NotApplied => {}
            SwapOutcome::Unknown => claim.unknown = true,
        }
    }

    pub(crate) fn poll_ownership(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.begin_claims(now_us);
        self.send_claims(now_us, actions);
        if now_us >= self.next_review_us {
            self.next_review_us = now_us + REVIEW_INTERVAL_US;
            self.note_gone_agents(now_us, now_unix_ms, actions);
            self.eject_failing(now_us);
        }
        self.change_rosters(now_us, actions);
        if self.draining {
            self.hand_over(now_us, now_unix_ms, actions);
        }
    }

    fn begin_claims(&mut self, now_us: u64) {
        if self.draining {
            return;
        }
        for key in self.wanted_shards() {
            if self.shards.contains_key(&key) || self.claiming.contains_key(&key) {
                continue;
            }
            let count = self.configured_count(key);
            let joining = roster::joining_for(key, &self.agents, now_us);
            let Some((expected_revision, record)) =
                self.claims.claim(&self.me, key, count, joining, now_us)
            else {
                continue;
            };
            self.counters.takeovers += u64::from(expected_revision > 0);
            self.claiming.insert(
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

    /// Lists the shards that are to have owners; the first of a firm comes before the others.
    fn wanted_shards(&self) -> Vec<ShardKey> {
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
        for (key, claim) in &mut self.claiming {
            if claim.in_flight || claim.next_try_us > now_us {
                continue;
            }
            claim.in_flight = true;
            actions.push(Action::Swap {
                shard: *key,
                expected_revision: claim.expected_revision,
                record: claim.record.clone(),
            });
        }
    }

    fn note_gone_agents(&mut self, now_us: u64, now_unix_ms: u64, actions: &mut Vec<Action>) {
        for shard in self.shards.values_mut() {
            if shard.phase == Phase::Yielding {
                continue;
            }
            let gone: Vec<AgentKey> = shard
                .members
                .iter()
                .filter(|member| holds_tasks_in_vain(&self.agents, member, now_us))
                .map(|member| member.agent)
                .collect();
            let mut cx = cx!(self, now_us, now_unix_ms, actions);
            for agent in gone {
                shard.lose_agent(&mut cx, agent);
            }
        }
    }

    fn change_rosters(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for shard in self.shards.values_mut() {
            if shard.phase == Phase::Yielding && shard.swap.is_none() {
                continue;
            }
            shard.plan_roster(&self.agents, now_us);
            shard.send_swap(now_us, actions);
        }
    }

    /// Begins a planned stop: shards are handed over, none is claimed.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Tells whether a planned stop has been begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Tells whether nothing keeps the process from ending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.shards.values().all(Shard::is_idle)
    }

    fn hand_over(&mut self, now_us: u64, now_unix_ms: u64, actions: &mut Vec<Action>) {
        let ready: Vec<ShardKey> = self
            .shards
            .values()
            .filter(|shard| shard.phase == Phase::Serving && shard.swap.is_none())
            .map(|shard| shard.key)
            .collect();
        for key in ready {
            let Some(peer) = self.claims.best_peer(key, now_us) else {
                continue;
            };
            let (to, address) = (peer.info.key, peer.info.address.clone());
            let Some(shard) = self.shards.get_mut(&key) else {
                continue;
            };
            let mut record = shard.record.clone();
            record.generation = record.generation.next();
            record.owner = to;
            record.owner_address.clone_from(&address);
            shard.handing_to = Some(record);
            let mut offered = Vec::new();
            let cx = cx!(self, now_us, now_unix_ms, &mut offered);
            let table = Box::new(shard.export(&cx));
            actions.push(Action::HandOver {
                shard: key,
                to,
                address,
                table,
            });
        }
    }

    /// Takes in the answer to an offer of a shard's table.
    pub fn handed_over(&mut self, key: ShardKey, accepted: bool, now_us: u64) {
        let Some(shard) = self.shards.get_mut(&key) else {
            return;
        };
        let Some(record) = shard.handing_to.take() else {
            return;
        };
        if !accepted {
            shard.phase = Phase::Serving;
            return;
        }
        shard.swap = Some(PendingSwap {
            record,
            in_flight: false,
            unknown: false,
            next_try_us: now_us,
        });
    }

    /// Takes in a table offered by the present owner of a shard; returns whether it is accepted.
    pub fn take_table(&mut self, key: ShardKey, table: Table) -> bool {
        if self.draining || self.shards.contains_key(&key) || self.claiming.contains_key(&key) {
            return false;
        }
        self.imports.insert(key, table);
        true
    }
}

fn member_is_gone(agents: &crate::agents::Agents, member: &MemberView, now_us: u64) -> bool {
    agents
        .get(member.agent)
        .is_none_or(|agent| agent.is_gone(now_us))
}

/// Tells whether a member is gone and its tasks have not been given up.
///
/// The roster may show the member as departed before the next review.
fn holds_tasks_in_vain(agents: &crate::agents::Agents, member: &MemberView, now_us: u64) -> bool {
    let outstanding = agents
        .get(member.agent)
        .is_some_and(|agent| agent.outstanding > 0);
    let unresolved = member.state == MemberState::Active || outstanding;
    unresolved && member_is_gone(agents, member, now_us)
}

impl Shard {
    fn plan_roster(&mut self, agents: &crate::agents::Agents, now_us: u64) {
        if self.swap.is_some() || self.phase != Phase::Serving || now_us < self.next_swap_us {
            return;
        }
        let Some(roster) = roster::next_roster(&self.record, &self.members, agents, now_us) else {
            return;
        };
        let mut record = self.record.clone();
        record.roster = roster;
        self.swap = Some(PendingSwap {
            record,
            in_flight: false,
            unknown: false,
            next_try_us: now_us,
        });
        self.refresh_authority();
    }

    fn send_swap(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(swap) = &mut self.swap else {
            return;
        };
        if swap.in_flight || swap.next_try_us > now_us {
            return;
        }
        swap.in_flight = true;
        actions.push(Action::Swap {
            shard: self.key,
            expected_revision: self.revision,
            record: swap.record.clone(),
        });
    }

    /// Gives up a change of the record that surely had no effect.
    fn drop_swap(&mut self, now_us: u64) {
        self.swap = None;
        self.next_swap_us = now_us + RETRY_SWAP_US;
        if self.phase == Phase::Yielding {
            self.phase = Phase::Serving;
        }
        self.refresh_authority();
    }

    /// Takes in the record of this generation with a changed roster.
    fn roster_written(&mut self, cx: &mut Cx<'_>, record: ShardRecord, revision: u64) {
        let mut earlier = std::mem::take(&mut self.members);
        let mut members = Vec::with_capacity(record.roster.len());
        for member in &record.roster {
            let at = earlier.iter().position(|view| view.process == member.agent);
            match at {
                Some(at) => {
                    let mut view = earlier.swap_remove(at);
                    if view.state != member.state {
                        view.state = member.state;
                        view.departed_us = cx.now_us;
                    }
                    members.push(view);
                }
                None => {
                    let agent = cx.agents.ensure(member.agent, &member.address, cx.now_us);
                    if let Some(view) = cx.agents.get_mut(agent) {
                        view.rostered += 1;
                    }
                    members.push(MemberView::new(member, agent, cx.now_us));
                }
            }
        }
        roster::release(&earlier, cx.agents);
        self.members = members;
        self.record = record;
        self.revision = revision;
        self.swap = None;
        self.index_members();
        self.refresh_authority();
        self.send_fences(cx);
    }

    fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.parked.is_empty()
    }
}
