//! Roster changes of the shards that this entry owns.

use std::collections::BTreeSet;

use model::{ShardKey, ShardRecord};

use crate::action::Action;
use crate::agents::{AgentKey, Agents};
use crate::dispatcher::{Dispatcher, shard_context};
use crate::mutation::Mutation;
use crate::ownership::RETRY_SWAP_US;
use crate::roster::{self, MemberView};
use crate::shard::{PendingSwap, Phase, Shard, ShardContext};

impl Dispatcher {
    pub(crate) fn fail_tasks_of_gone_agents(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        for shard in self.shards.values_mut() {
            let gone = shard.newly_gone(&self.agents, now_us);
            let mut cx = shard_context!(self, now_us, now_unix_ms, actions);
            for agent in gone {
                shard.fail_tasks_of_agent(&mut cx, agent);
            }
        }
    }

    pub(crate) fn plan_rosters(&mut self, now_us: u64) {
        for shard in self.shards.values_mut() {
            shard.plan_roster(&self.agents, now_us);
        }
    }

    pub(crate) fn change_rosters(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for shard in self.shards.values_mut() {
            if self.mutations.has(Mutation::IgnoreRoster)
                && let Some(swap) = shard
                    .swap
                    .take_if(|swap| swap.record.owner == self.own_info.key)
            {
                let revision = shard.revision;
                let mut cx = shard_context!(self, now_us, 0, actions);
                shard.roster_written(&mut cx, swap.record, revision);
            }
            shard.send_swap(&mut self.in_flight_swaps, now_us, actions);
        }
    }
}

fn member_is_gone(agents: &Agents, member: &MemberView, now_us: u64) -> bool {
    agents
        .get(member.agent)
        .is_none_or(|agent| agent.is_gone(now_us))
}

impl Shard {
    /// Returns the agents of members that became gone since the last call.
    fn newly_gone(&mut self, agents: &Agents, now_us: u64) -> Vec<AgentKey> {
        let mut gone = Vec::new();
        for member in &mut self.members {
            let is_gone = member_is_gone(agents, member, now_us);
            if is_gone && !member.lost {
                gone.push(member.agent);
            }
            member.lost = is_gone;
        }
        gone
    }

    fn plan_roster(&mut self, agents: &Agents, now_us: u64) {
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
            unknown: false,
            confirmed: false,
            next_try_us: now_us,
        });
        self.refresh_authority();
    }

    fn send_swap(
        &self,
        in_flight_swaps: &mut BTreeSet<ShardKey>,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(swap) = &self.swap else {
            return;
        };
        if swap.next_try_us > now_us || !in_flight_swaps.insert(self.key) {
            return;
        }
        actions.push(Action::CompareAndSwap {
            shard: self.key,
            expected_revision: self.revision,
            record: swap.record.clone(),
        });
    }

    /// Drops a swap of the record that definitely had no effect, and delays the next one.
    pub fn drop_swap(&mut self, now_us: u64) {
        self.swap = None;
        self.next_swap_us = now_us + RETRY_SWAP_US;
        self.refresh_authority();
    }

    /// Applies a written record of this generation with a changed roster.
    pub fn roster_written(
        &mut self,
        cx: &mut ShardContext<'_>,
        record: ShardRecord,
        revision: u64,
    ) {
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
                    let agent = cx
                        .agents
                        .find_or_insert(member.agent, &member.address, cx.now_us);
                    if let Some(view) = cx.agents.get_mut(agent) {
                        view.roster_count += 1;
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

    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.parked.is_empty()
    }
}
