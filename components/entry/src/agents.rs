//! Messages from and to agents.

use std::rc::Rc;

use dispatch::Action;
use model::{AgentEnvelope, AgentInfo, FirmKey, OwnerEnvelope, ProcessKey};
use protocol::{AnnounceReply, LinkError, LinkFault, Refusal, ShardOwner, TeamInfo};
use runtime::{monotonic_us, unix_ms};

use crate::platform_sync::shares_firm;
use crate::process::Shared;

/// Time after which an unanswered message to an agent is given up, in microseconds.
///
/// The decisions send again what was not acknowledged.
const EXCHANGE_US: u64 = 1_000_000;

impl Shared {
    /// Sends messages to an agent and takes in its answer.
    pub async fn send_to_agent(self: Rc<Self>, address: String, envelope: OwnerEnvelope) {
        let link = match self.agents.link(&address, Some(envelope.to)).await {
            Ok(link) => link,
            Err(error) => {
                log::debug!("Agent {address} cannot be reached: {error}.");
                self.note_refusal(envelope.to, &error);
                return;
            }
        };
        match link.exchange(envelope, monotonic_us() + EXCHANGE_US).await {
            Ok(answer) => self.take_in(answer),
            Err(error) => {
                log::debug!("Agent {address} did not answer: {error}.");
                self.agents.remove(&address);
            }
        }
    }

    fn note_refusal(&self, agent: ProcessKey, error: &LinkError) {
        let LinkError::NotSent(fault) = error else {
            return;
        };
        match fault {
            LinkFault::Refused(Refusal::Key { .. }) => self.core.borrow_mut().agent_ended(agent),
            LinkFault::NobodyListens => self.core.borrow_mut().agent_refused(agent),
            _ => {}
        }
    }

    fn take_in(self: &Rc<Self>, envelope: AgentEnvelope) {
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .agent_envelope(envelope, monotonic_us(), unix_ms(), &mut actions);
        self.perform(actions);
        self.wake();
    }

    /// Takes in messages of an agent and returns what is queued for it.
    pub fn exchange(self: &Rc<Self>, envelope: AgentEnvelope) -> OwnerEnvelope {
        let agent = envelope.from;
        let (now_us, now_unix_ms) = (monotonic_us(), unix_ms());
        let mut actions = Vec::new();
        {
            let mut core = self.core.borrow_mut();
            core.agent_envelope(envelope, now_us, now_unix_ms, &mut actions);
            core.poll(now_us, now_unix_ms, &mut actions);
        }
        let mut reply = OwnerEnvelope {
            from: self.me.key,
            from_address: self.me.address.clone(),
            to: agent,
            messages: Vec::new(),
        };
        // What is queued for this agent rides on the response.
        let first = actions.iter().position(
            |action| matches!(action, Action::Send { envelope, .. } if envelope.to == agent),
        );
        if let Some(first) = first
            && let Action::Send { envelope, .. } = actions.remove(first)
        {
            reply = envelope;
        }
        self.perform(actions);
        reply
    }

    /// Takes in an agent's announcement.
    pub fn announce(&self, agent: AgentInfo, known_config_revision: u64) -> AnnounceReply {
        let firms: Vec<_> = agent
            .target
            .iter()
            .flat_map(|target| target.firms.iter().copied())
            .collect();
        let mut core = self.core.borrow_mut();
        core.agent_announced(agent, monotonic_us());
        let owners = core
            .owners()
            .filter(|(shard, ..)| firms.contains(&shard.firm))
            .map(|(shard, owner, address)| ShardOwner {
                shard,
                owner,
                address: address.to_owned(),
            })
            .collect();
        let rules = core.agent_rules();
        let config_revision = rules.revision;
        let newer = config_revision > known_config_revision;
        let rules = newer.then(|| rules.clone());
        let mut entries: Vec<_> = self.known_entries.borrow().values().cloned().collect();
        entries.push(self.me.clone());
        entries.retain(|entry| shares_firm(&entry.firms, &firms));
        drop(core);
        self.wake();
        AnnounceReply {
            entry: self.me.clone(),
            entries,
            owners,
            config_revision,
            rules,
            teams: self.teams_of(&firms),
        }
    }

    fn teams_of(&self, firms: &[FirmKey]) -> Vec<TeamInfo> {
        let config = self.config.borrow();
        let Some(published) = config.published() else {
            return Vec::new();
        };
        published
            .merged
            .tenants()
            .filter(|tenant| tenant.team.is_some() && firms.contains(&tenant.firm_key()))
            .map(|tenant| TeamInfo {
                firm: tenant.firm_key(),
                team: tenant.key(),
                name: tenant.name(),
            })
            .collect()
    }
}
