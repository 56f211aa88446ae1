//! Messages on their way to entries: those of one turn of the loop share an envelope.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use model::{AgentEnvelope, AgentMessage, ProcessKey, TaskOutcome};

use crate::process::Shared;

/// Time for which mere acknowledgements of starts wait for a message to go with, in
/// milliseconds.
///
/// Well below the time after which an owner sends an unacknowledged start again.
const HOLD_MS: u64 = 50;

/// Size of the results from which on an envelope is sent without waiting, in bytes.
const FULL_BYTES: usize = 1 << 20;

/// Estimate of what a message takes without its result, in bytes.
const MESSAGE_BYTES: usize = 64;

/// Envelopes to be sent, by entry.
#[derive(Debug, Default)]
pub struct Outgoing {
    envelopes: BTreeMap<ProcessKey, Pending>,
    next_number: u64,
}

#[derive(Debug)]
struct Pending {
    number: u64,
    envelope: AgentEnvelope,
    size_bytes: usize,
    /// What has been set off to send the envelope.
    sender: Sender,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Sender {
    Hold,
    Turn,
}

impl Outgoing {
    /// Adds messages; returns what is to be set off to send them, and a full envelope.
    fn add(&mut self, envelope: AgentEnvelope) -> (Option<Sender>, Option<AgentEnvelope>) {
        let to = envelope.to;
        let wanted = sender_for(&envelope);
        let size_bytes = size_bytes(&envelope);
        let Some(pending) = self.envelopes.get_mut(&to) else {
            let pending = Pending {
                number: self.next_number,
                envelope,
                size_bytes,
                sender: wanted,
            };
            self.next_number += 1;
            self.envelopes.insert(to, pending);
            return (Some(wanted), None);
        };
        let mut full = None;
        if pending.size_bytes + size_bytes > FULL_BYTES {
            full = Some(std::mem::replace(&mut pending.envelope, envelope));
            pending.size_bytes = size_bytes;
        } else {
            pending.envelope.load = envelope.load;
            pending.envelope.messages.extend(envelope.messages);
            pending.size_bytes += size_bytes;
        }
        let set_off = (wanted > pending.sender).then_some(wanted);
        pending.sender = pending.sender.max(wanted);
        (set_off, full)
    }

    /// Tells whether the messages that wait for an entry are those of a number.
    fn is_pending(&self, to: ProcessKey, number: u64) -> bool {
        let pending = self.envelopes.get(&to);
        pending.is_some_and(|pending| pending.number == number)
    }

    fn number(&self, to: ProcessKey) -> Option<u64> {
        self.envelopes.get(&to).map(|pending| pending.number)
    }

    /// Takes the messages that wait for an entry.
    pub fn take(&mut self, to: ProcessKey) -> Option<AgentEnvelope> {
        self.envelopes.remove(&to).map(|pending| pending.envelope)
    }
}

impl Shared {
    /// Sends an envelope at the end of this turn of the loop, together with others.
    pub fn post(self: &Rc<Self>, envelope: AgentEnvelope) {
        if is_fence_answer(&envelope) {
            // Its parts are as large as an envelope may be.
            monoio::spawn(Rc::clone(self).send(envelope));
            return;
        }
        let to = envelope.to;
        let (sender, full) = self.outgoing.borrow_mut().add(envelope);
        if let Some(full) = full {
            monoio::spawn(Rc::clone(self).send(full));
        }
        match sender {
            None => {}
            Some(Sender::Turn) => {
                monoio::spawn(Rc::clone(self).send_posted(to));
            }
            Some(Sender::Hold) => {
                monoio::spawn(Rc::clone(self).send_held(to));
            }
        }
    }

    async fn send_held(self: Rc<Self>, to: ProcessKey) {
        let number = self.outgoing.borrow().number(to);
        monoio::time::sleep(Duration::from_millis(HOLD_MS)).await;
        let is_held = number.is_some_and(|number| self.outgoing.borrow().is_pending(to, number));
        if is_held {
            self.send_posted(to).await;
        }
    }

    async fn send_posted(self: Rc<Self>, to: ProcessKey) {
        let posted = self.outgoing.borrow_mut().take(to);
        if let Some(envelope) = posted {
            self.send(envelope).await;
        }
    }

    /// Adds what waits for the entry to a response to it.
    pub fn add_posted(&self, reply: &mut AgentEnvelope) {
        let Some(mut posted) = self.outgoing.borrow_mut().take(reply.to) else {
            return;
        };
        if reply.messages.is_empty() {
            reply.load = posted.load;
        }
        posted.messages.append(&mut reply.messages);
        reply.messages = posted.messages;
    }
}

fn is_fence_answer(envelope: &AgentEnvelope) -> bool {
    let mut messages = envelope.messages.iter();
    messages.any(|message| matches!(message, AgentMessage::Fenced { .. }))
}

fn sender_for(envelope: &AgentEnvelope) -> Sender {
    let mut messages = envelope.messages.iter();
    if messages.all(|message| matches!(message, AgentMessage::Accepted { .. })) {
        return Sender::Hold;
    }
    Sender::Turn
}

fn size_bytes(envelope: &AgentEnvelope) -> usize {
    let sizes = envelope.messages.iter().map(|message| match message {
        AgentMessage::Finished {
            outcome: TaskOutcome::Done(result),
            ..
        } => MESSAGE_BYTES + result.len(),
        _ => MESSAGE_BYTES,
    });
    sizes.sum()
}
