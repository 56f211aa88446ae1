//! Messages to and from agents.

use std::rc::Rc;

use dispatch::Action;
use model::{AgentEnvelope, AgentInfo, FirmKey, OwnerEnvelope, ProcessKey};
use protocol::{AnnounceReply, LinkError, LinkFault, Refusal, ShardOwner, TeamInfo};
use runtime::{monotonic_us, unix_ms};

use crate::platform_sync::has_common_firm;
use crate::process::Shared;

/// Timeout of an exchange of messages with an agent, in microseconds.
///
/// The dispatcher resends unacknowledged messages.
const EXCHANGE_TIMEOUT_US: u64 = 1_000_000;

impl Shared {
    /// Sends messages to an agent and handles its reply.
    pub async fn send_to_agent(self: Rc<Self>, address: String, envelope: OwnerEnvelope) {
        let link = match self.agents.link(&address, Some(envelope.to)).await {
            Ok(link) => link,
            Err(error) => {
                log::debug!("Agent {address} cannot be reached: {error}.");
                self.note_connection_failure(envelope.to, &error);
                return;
            }
        };
        match link
            .exchange(envelope, monotonic_us() + EXCHANGE_TIMEOUT_US)
            .await
        {
            Ok(answer) => self.handle_envelope(answer),
            Err(error) => {
                log::debug!("Agent {address} did not answer: {error}.");
                self.agents.remove(&address);
            }
        }
    }

    fn note_connection_failure(&self, agent: ProcessKey, error: &LinkError) {
        let LinkError::NotSent(fault) = error else {
            return;
        };
        match fault {
            LinkFault::Refused(Refusal::Key { .. }) => {
                self.dispatcher.borrow_mut().mark_agent_ended(agent);
            }
            LinkFault::NobodyListens => self.dispatcher.borrow_mut().mark_agent_refused(agent),
            _ => {}
        }
    }

    fn handle_envelope(self: &Rc<Self>, envelope: AgentEnvelope) {
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().agent_envelope(
            envelope,
            monotonic_us(),
            unix_ms(),
            &mut actions,
        );
        self.perform(actions);
        self.wake();
    }

    /// Handles messages from an agent and returns the messages queued for it.
    pub fn handle_exchange(self: &Rc<Self>, envelope: AgentEnvelope) -> OwnerEnvelope {
        let agent = envelope.from;
        let (now_us, now_unix_ms) = (monotonic_us(), unix_ms());
        let mut actions = Vec::new();
        {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.agent_envelope(envelope, now_us, now_unix_ms, &mut actions);
            dispatcher.poll(now_us, now_unix_ms, &mut actions);
        }
        let mut reply = OwnerEnvelope {
            from: self.own_info.key,
            from_address: self.own_info.address.clone(),
            to: agent,
            messages: Vec::new(),
        };
        // The response carries the first envelope queued for this agent.
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

    /// Handles an agent's announcement.
    ///
    /// Returns the entries, shard owners and teams of the agent's firms, and the agent's rules if
    /// they are newer than `known_config_revision`.
    pub fn handle_announcement(
        &self,
        agent: AgentInfo,
        known_config_revision: u64,
    ) -> AnnounceReply {
        let firms: Vec<_> = agent
            .target
            .iter()
            .flat_map(|target| target.firms.iter().copied())
            .collect();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.agent_announced(agent, monotonic_us());
        let owners = dispatcher
            .owners()
            .filter(|(shard, ..)| firms.contains(&shard.firm))
            .map(|(shard, owner, address)| ShardOwner {
                shard,
                owner,
                address: address.to_owned(),
            })
            .collect();
        let rules = dispatcher.agent_rules();
        let config_revision = rules.revision;
        let is_newer = config_revision > known_config_revision;
        let rules = is_newer.then(|| rules.clone());
        let mut entries: Vec<_> = self.known_entries.borrow().values().cloned().collect();
        entries.push(self.own_info.clone());
        entries.retain(|entry| has_common_firm(&entry.firms, &firms));
        drop(dispatcher);
        self.wake();
        AnnounceReply {
            entry: self.own_info.clone(),
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
