//! Batches the messages of one event into envelopes, one for each destination.

use model::{AgentEnvelope, AgentMessage, JobRecord, Load, ProcessKey, TaskOutcome, TaskState};

use crate::actions::AgentAction;
use crate::task::outcome_bytes;

/// Size above which an envelope is split, so that it fits into a frame.
const MAX_ENVELOPE_BYTES: usize = 1 << 20;
/// Estimated encoded size of a message without results.
const MESSAGE_OVERHEAD_BYTES: usize = 64;
/// Estimated encoded size of a job without its id and tasks.
const JOB_OVERHEAD_BYTES: usize = 128;
/// Estimated encoded size of a task without its result.
const TASK_OVERHEAD_BYTES: usize = 16;

/// Messages of the current event, by destination.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: Vec<(ProcessKey, Vec<AgentMessage>)>,
}

impl Outbox {
    pub fn push(&mut self, to: ProcessKey, message: AgentMessage) {
        match self.messages.iter_mut().find(|(key, _)| *key == to) {
            Some((_, messages)) => messages.push(message),
            None => self.messages.push((to, vec![message])),
        }
    }

    pub fn take(&mut self) -> Vec<(ProcessKey, Vec<AgentMessage>)> {
        std::mem::take(&mut self.messages)
    }

    /// Appends envelopes with `messages`; more than one if they exceed the size limit.
    pub fn push_envelopes(
        from: ProcessKey,
        to: ProcessKey,
        load: Load,
        messages: Vec<AgentMessage>,
        actions: &mut Vec<AgentAction>,
    ) {
        let mut rest = messages;
        while !rest.is_empty() {
            let tail = rest.split_off(fitting_count(&rest));
            let messages = std::mem::replace(&mut rest, tail);
            actions.push(AgentAction::Send(AgentEnvelope {
                from,
                to,
                load,
                messages,
            }));
        }
    }
}

/// Returns how many messages fit into one envelope; at least one.
fn fitting_count(messages: &[AgentMessage]) -> usize {
    let mut bytes = 0;
    for (count, message) in messages.iter().enumerate() {
        bytes += message_bytes(message);
        if bytes > MAX_ENVELOPE_BYTES && count > 0 {
            return count;
        }
    }
    messages.len()
}

fn message_bytes(message: &AgentMessage) -> usize {
    match message {
        AgentMessage::Finished { outcome, .. } => MESSAGE_OVERHEAD_BYTES + outcome_bytes(outcome),
        AgentMessage::Fenced { jobs, .. } => {
            MESSAGE_OVERHEAD_BYTES + jobs.iter().map(job_bytes).sum::<usize>()
        }
        _ => MESSAGE_OVERHEAD_BYTES,
    }
}

fn job_bytes(job: &JobRecord) -> usize {
    let tasks = job.tasks.iter().map(|task| match &task.state {
        TaskState::Finished(outcome) => task_bytes(Some(outcome)),
        _ => task_bytes(None),
    });
    job_header_bytes(job.meta.id.len()) + tasks.sum::<usize>()
}

pub(crate) fn job_header_bytes(id_bytes: usize) -> usize {
    JOB_OVERHEAD_BYTES + id_bytes
}

pub(crate) fn task_bytes(outcome: Option<&TaskOutcome>) -> usize {
    TASK_OVERHEAD_BYTES + outcome.map_or(0, outcome_bytes)
}
