//! Counts of messages between owners and agents.

use model::{AgentEnvelope, AgentMessage, OwnerEnvelope, OwnerMessage};
use serde::Serialize;

/// Counts and sizes of the messages between owners and agents.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct MessageCounts {
    /// Envelopes from owners to agents.
    pub to_agents: u64,
    /// Envelopes from agents to owners.
    pub to_owners: u64,
    /// Envelopes that carry only heartbeats or their answers.
    pub heartbeat_only: u64,
    /// Envelopes that carry only acknowledgements.
    pub acknowledgement_only: u64,
    /// Start messages.
    pub starts: u64,
    /// Tasks in start messages.
    pub started_tasks: u64,
    /// Tasks whose revocation was requested.
    pub revoked_tasks: u64,
    /// Messages that report a failed revocation.
    pub revoke_failed: u64,
    /// Bytes of envelopes from owners to agents.
    pub to_agents_bytes: u64,
    /// Bytes of envelopes from agents to owners.
    pub to_owners_bytes: u64,
}

impl MessageCounts {
    /// Counts an envelope to an agent.
    pub fn owner_envelope(&mut self, envelope: &OwnerEnvelope) {
        self.to_agents += 1;
        self.to_agents_bytes += bincode::serialized_size(envelope).unwrap_or(0);
        let mut heartbeats = 0;
        let mut acknowledgements = 0;
        for message in &envelope.messages {
            match message {
                OwnerMessage::Heartbeat(_) => heartbeats += 1,
                OwnerMessage::Received { .. } | OwnerMessage::Settled { .. } => {
                    acknowledgements += 1;
                }
                OwnerMessage::Start(start) => {
                    self.starts += 1;
                    self.started_tasks += start.tasks.len() as u64;
                }
                OwnerMessage::Revoke { tasks, .. } => self.revoked_tasks += tasks.len() as u64,
                OwnerMessage::Fence(_) | OwnerMessage::Configure(_) => {}
            }
        }
        self.count_by_content(envelope.messages.len(), heartbeats, acknowledgements);
    }

    /// Counts an envelope to an owner.
    pub fn agent_envelope(&mut self, envelope: &AgentEnvelope) {
        self.to_owners += 1;
        self.to_owners_bytes += bincode::serialized_size(envelope).unwrap_or(0);
        let mut heartbeats = 0;
        let mut acknowledgements = 0;
        for message in &envelope.messages {
            match message {
                AgentMessage::HeartbeatAck(_) => heartbeats += 1,
                AgentMessage::Accepted { .. } => acknowledgements += 1,
                AgentMessage::RevokeFailed { .. } => self.revoke_failed += 1,
                AgentMessage::Fenced { .. }
                | AgentMessage::Refused { .. }
                | AgentMessage::Finished { .. } => {}
            }
        }
        self.count_by_content(envelope.messages.len(), heartbeats, acknowledgements);
    }

    fn count_by_content(&mut self, messages: usize, heartbeats: usize, acknowledgements: usize) {
        if heartbeats == messages {
            self.heartbeat_only += 1;
        } else if acknowledgements == messages {
            self.acknowledgement_only += 1;
        }
    }

    /// Returns the number of envelopes in both directions.
    #[must_use]
    pub fn envelopes(&self) -> u64 {
        self.to_agents + self.to_owners
    }
}
