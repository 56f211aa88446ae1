//! Members of a shard's roster and the changes to it.

use model::{CLOCK_SKEW_MS, Member, MemberState, ProcessKey, RETENTION_MS, ShardKey, ShardRecord};

use crate::agents::{AgentKey, AgentView, Agents};

/// Time for which a departed member stays on the roster, in microseconds.
///
/// Until then ids of jobs that it may have run are still accepted.
pub const DEPARTED_KEEP_US: u64 = (RETENTION_MS + 4 * CLOCK_SKEW_MS) * 1_000;

/// A roster member as its owner sees it.
#[derive(Debug)]
pub struct MemberView {
    pub agent: AgentKey,
    pub process: ProcessKey,
    pub state: MemberState,
    /// Whether the member answered the fence of this generation in full.
    pub fenced: bool,
    /// Parts of the fence's answer that have arrived.
    pub parts: Vec<bool>,
    /// Sending time of the newest heartbeat acknowledged under this generation.
    pub acked_sent_us: u64,
    pub departed_us: u64,
    pub next_fence_us: u64,
    /// Whether the tasks that it held were given up after it had gone.
    pub lost: bool,
}

impl MemberView {
    pub fn new(member: &Member, agent: AgentKey, now_us: u64) -> Self {
        Self {
            agent,
            process: member.agent,
            state: member.state,
            fenced: false,
            parts: Vec::new(),
            acked_sent_us: 0,
            departed_us: now_us,
            next_fence_us: now_us,
            lost: false,
        }
    }

    /// Notes a part of the fence's answer; returns whether it was a new one.
    pub fn note_part(&mut self, part: u32, part_count: u32) -> bool {
        if self.parts.len() != part_count as usize {
            self.parts = vec![false; part_count as usize];
        }
        let Some(seen) = self.parts.get_mut(part as usize) else {
            return false;
        };
        let new = !*seen;
        *seen = true;
        self.fenced = self.parts.iter().all(|seen| *seen);
        new
    }
}

/// Builds the views of all members of a record.
pub fn member_views(record: &ShardRecord, agents: &mut Agents, now_us: u64) -> Vec<MemberView> {
    record
        .roster
        .iter()
        .map(|member| {
            let agent = agents.ensure(member.agent, &member.address, now_us);
            if let Some(view) = agents.get_mut(agent) {
                view.rostered += 1;
            }
            MemberView::new(member, agent, now_us)
        })
        .collect()
}

/// Releases the agents of members that are dropped from this entry's care.
pub fn release(members: &[MemberView], agents: &mut Agents) {
    for member in members {
        if let Some(view) = agents.get_mut(member.agent) {
            view.rostered = view.rostered.saturating_sub(1);
        }
    }
}

/// Computes the roster that should follow, or none if nothing changes.
///
/// Agents of the firm that are not listed join; members that are gone depart, and come back
/// when they are heard again; departed members leave once nothing they may hold can be
/// submitted again.
pub fn next_roster(
    record: &ShardRecord,
    members: &[MemberView],
    agents: &Agents,
    now_us: u64,
) -> Option<Vec<Member>> {
    let mut changed = false;
    let mut roster = Vec::with_capacity(record.roster.len());
    for (member, view) in record.roster.iter().zip(members) {
        let gone = agents
            .get(view.agent)
            .is_none_or(|agent| agent.is_gone(now_us));
        match member.state {
            MemberState::Active if gone => {
                changed = true;
                roster.push(Member {
                    state: MemberState::Departed,
                    ..member.clone()
                });
            }
            MemberState::Departed if !gone && serves(agents, view, record.shard) => {
                changed = true;
                roster.push(Member {
                    state: MemberState::Active,
                    ..member.clone()
                });
            }
            MemberState::Departed if now_us > view.departed_us + DEPARTED_KEEP_US => {
                changed = true;
            }
            _ => roster.push(member.clone()),
        }
    }
    for joining in joining_agents(record, members, agents, now_us) {
        changed = true;
        roster.push(joining);
    }
    changed.then_some(roster)
}

fn serves(agents: &Agents, member: &MemberView, shard: ShardKey) -> bool {
    agents
        .get(member.agent)
        .is_some_and(|view| may_serve(view, shard))
}

fn may_serve(view: &AgentView, shard: ShardKey) -> bool {
    let target = view.info.target.as_ref();
    target.is_some_and(|target| target.firms.contains(&shard.firm)) && !view.info.draining
}

/// Lists the agents that serve a shard's firm, for its first roster.
pub fn joining_for(shard: ShardKey, agents: &Agents, now_us: u64) -> Vec<Member> {
    agents
        .iter()
        .map(|(_, view)| view)
        .filter(|view| may_serve(view, shard) && !view.is_gone(now_us))
        .map(|view| Member {
            agent: view.info.key,
            address: view.info.address.clone(),
            state: MemberState::Active,
        })
        .collect()
}

/// Lists agents that may join, few enough to leave the present members a majority.
///
/// New members vouch for nothing until they are fenced.
fn joining_agents(
    record: &ShardRecord,
    members: &[MemberView],
    agents: &Agents,
    now_us: u64,
) -> Vec<Member> {
    let vouching = members
        .iter()
        .filter(|member| member.state == MemberState::Active && member.acked_sent_us > 0)
        .count();
    let limit = if vouching == 0 {
        usize::MAX
    } else {
        (vouching - 1).max(1)
    };
    joining_for(record.shard, agents, now_us)
        .into_iter()
        .filter(|joining| {
            !record
                .roster
                .iter()
                .any(|member| member.agent == joining.agent)
        })
        .take(limit)
        .collect()
}
