//! Membership of a shard: the agents on its roster and how the roster changes.

use model::{CLOCK_SKEW_MS, Member, MemberState, ProcessKey, RETENTION_MS, ShardKey, ShardRecord};

use crate::agents::{AgentKey, AgentView, Agents};

/// Time for which a departed member stays on the roster, in microseconds.
///
/// During this time callers may still resubmit jobs that the member may have run.
pub const DEPARTED_RETENTION_US: u64 = (RETENTION_MS + 4 * CLOCK_SKEW_MS) * 1_000;

/// The shard owner's view of a roster member.
#[derive(Debug)]
pub struct MemberView {
    pub agent: AgentKey,
    pub process: ProcessKey,
    pub state: MemberState,
    /// Whether all parts of the member's answer to this generation's fence have arrived.
    pub fenced: bool,
    /// Which parts of the answer to the fence have arrived.
    pub parts: Vec<bool>,
    /// Send time of the newest heartbeat that the member acknowledged for this generation.
    pub acked_sent_us: u64,
    pub departed_us: u64,
    pub next_fence_us: u64,
    /// Whether the agent was gone at the last check, so that its tasks have been failed.
    pub was_gone: bool,
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
            was_gone: false,
        }
    }

    /// Records a part of the answer to the fence; returns whether the part is new.
    pub fn record_fence_part(&mut self, part: u32, part_count: u32) -> bool {
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
            let agent = agents.find_or_insert(member.agent, &member.address, now_us);
            if let Some(view) = agents.get_mut(agent) {
                view.roster_count += 1;
            }
            MemberView::new(member, agent, now_us)
        })
        .collect()
}

/// Decrements the roster counts of the agents behind members that this entry no longer tracks.
pub fn decrement_roster_counts(members: &[MemberView], agents: &mut Agents) {
    for member in members {
        if let Some(view) = agents.get_mut(member.agent) {
            view.roster_count = view.roster_count.saturating_sub(1);
        }
    }
}

/// Returns the next roster, or none if nothing changes.
///
/// Unlisted agents that serve the firm join. Draining or gone members become departed, and
/// active again when they respond. Departed members are removed once no job that they may
/// hold can be resubmitted.
pub fn next_roster(
    record: &ShardRecord,
    members: &[MemberView],
    agents: &Agents,
    now_us: u64,
) -> Option<Vec<Member>> {
    let mut changed = false;
    let mut roster = Vec::with_capacity(record.roster.len());
    for (member, view) in record.roster.iter().zip(members) {
        // Departed members do not count towards the majority, so an agent that is draining departs
        // before it is gone.
        let is_leaving = agents
            .get(view.agent)
            .is_none_or(|agent| agent.info.draining || agent.is_gone(now_us));
        match member.state {
            MemberState::Active if is_leaving => {
                changed = true;
                roster.push(Member {
                    state: MemberState::Departed,
                    ..member.clone()
                });
            }
            MemberState::Departed if !is_leaving && serves(agents, view, record.shard) => {
                changed = true;
                roster.push(Member {
                    state: MemberState::Active,
                    ..member.clone()
                });
            }
            MemberState::Departed if now_us > view.departed_us + DEPARTED_RETENTION_US => {
                changed = true;
            }
            _ => roster.push(member.clone()),
        }
    }
    for joining in joining_members(record, members, agents, now_us) {
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

/// Returns all responsive agents that serve a shard's firm, as active members.
pub fn eligible_members(shard: ShardKey, agents: &Agents, now_us: u64) -> Vec<Member> {
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

/// Returns the agents that join, few enough that present members keep the majority.
///
/// New members acknowledge no heartbeat of this generation until they are fenced.
fn joining_members(
    record: &ShardRecord,
    members: &[MemberView],
    agents: &Agents,
    now_us: u64,
) -> Vec<Member> {
    let acknowledging_count = members
        .iter()
        .filter(|member| member.state == MemberState::Active && member.acked_sent_us > 0)
        .count();
    let limit = if acknowledging_count == 0 {
        usize::MAX
    } else {
        (acknowledging_count - 1).max(1)
    };
    eligible_members(record.shard, agents, now_us)
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
