//! Batches outgoing messages: those queued for an entry in one event loop iteration share an
//! envelope.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use model::{AgentEnvelope, AgentMessage, ProcessKey, TaskOutcome};

use crate::process::Shared;

/// Delay of a batch that holds only acknowledgements of starts, in milliseconds.
///
/// Lets them share an envelope with other messages. Well below the time after which an owner
/// resends an unacknowledged start.
const ACK_DELAY_MS: u64 = 50;

/// Size above which a new batch is started and the previous one sent at once, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Estimated size of a message without its result, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Pending batches of messages, by entry.
#[derive(Debug, Default)]
pub struct OutgoingBatches {
    batches: BTreeMap<ProcessKey, Batch>,
    next_number: u64,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    envelope: AgentEnvelope,
    size_bytes: usize,
    /// Earliest flush scheduled so far.
    timing: FlushTiming,
}

/// Time at which a batch is sent; a greater variant is earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FlushTiming {
    /// After [`ACK_DELAY_MS`].
    Delayed,
    /// Once the current event loop iteration has finished.
    Immediate,
}

impl OutgoingBatches {
    /// Adds messages to a batch.
    ///
    /// Returns the flush to schedule, if an earlier one than before is needed, and the previous
    /// envelope if it was full.
    fn add(&mut self, envelope: AgentEnvelope) -> (Option<FlushTiming>, Option<AgentEnvelope>) {
        let to = envelope.to;
        let requested = flush_timing(&envelope);
        let size_bytes = size_bytes(&envelope);
        let Some(batch) = self.batches.get_mut(&to) else {
            let batch = Batch {
                number: self.next_number,
                envelope,
                size_bytes,
                timing: requested,
            };
            self.next_number += 1;
            self.batches.insert(to, batch);
            return (Some(requested), None);
        };
        let mut full = None;
        if batch.size_bytes + size_bytes > MAX_BATCH_BYTES {
            full = Some(std::mem::replace(&mut batch.envelope, envelope));
            batch.size_bytes = size_bytes;
        } else {
            batch.envelope.load = envelope.load;
            batch.envelope.messages.extend(envelope.messages);
            batch.size_bytes += size_bytes;
        }
        let new_timing = (requested > batch.timing).then_some(requested);
        batch.timing = batch.timing.max(requested);
        (new_timing, full)
    }

    /// Returns whether the pending batch for an entry is the one with the given number.
    fn is_pending(&self, to: ProcessKey, batch_number: u64) -> bool {
        let batch = self.batches.get(&to);
        batch.is_some_and(|batch| batch.number == batch_number)
    }

    fn batch_number(&self, to: ProcessKey) -> Option<u64> {
        self.batches.get(&to).map(|batch| batch.number)
    }

    /// Removes and returns the pending envelope for an entry.
    pub fn take(&mut self, to: ProcessKey) -> Option<AgentEnvelope> {
        self.batches.remove(&to).map(|batch| batch.envelope)
    }
}

impl Shared {
    /// Queues an envelope, to be sent together with other messages to the same entry.
    pub fn enqueue(self: &Rc<Self>, envelope: AgentEnvelope) {
        if has_fence_answer(&envelope) {
            // Fence answers are already split into parts of the maximum envelope size.
            monoio::spawn(Rc::clone(self).send(envelope));
            return;
        }
        let to = envelope.to;
        let (timing, full) = self.outgoing_batches.borrow_mut().add(envelope);
        if let Some(full) = full {
            monoio::spawn(Rc::clone(self).send(full));
        }
        match timing {
            None => {}
            Some(FlushTiming::Immediate) => {
                monoio::spawn(Rc::clone(self).flush(to));
            }
            Some(FlushTiming::Delayed) => {
                monoio::spawn(Rc::clone(self).flush_after_delay(to));
            }
        }
    }

    async fn flush_after_delay(self: Rc<Self>, to: ProcessKey) {
        let batch_number = self.outgoing_batches.borrow().batch_number(to);
        monoio::time::sleep(Duration::from_millis(ACK_DELAY_MS)).await;
        let is_unsent = batch_number.is_some_and(|batch_number| {
            self.outgoing_batches.borrow().is_pending(to, batch_number)
        });
        if is_unsent {
            self.flush(to).await;
        }
    }

    async fn flush(self: Rc<Self>, to: ProcessKey) {
        let pending = self.outgoing_batches.borrow_mut().take(to);
        if let Some(envelope) = pending {
            self.send(envelope).await;
        }
    }

    /// Moves the pending messages for an entry into a response to it.
    pub fn attach_pending(&self, reply: &mut AgentEnvelope) {
        let Some(mut pending) = self.outgoing_batches.borrow_mut().take(reply.to) else {
            return;
        };
        if reply.messages.is_empty() {
            reply.load = pending.load;
        }
        pending.messages.append(&mut reply.messages);
        reply.messages = pending.messages;
    }
}

fn has_fence_answer(envelope: &AgentEnvelope) -> bool {
    let mut messages = envelope.messages.iter();
    messages.any(|message| matches!(message, AgentMessage::Fenced { .. }))
}

fn flush_timing(envelope: &AgentEnvelope) -> FlushTiming {
    let mut messages = envelope.messages.iter();
    if messages.all(|message| matches!(message, AgentMessage::Accepted { .. })) {
        return FlushTiming::Delayed;
    }
    FlushTiming::Immediate
}

fn size_bytes(envelope: &AgentEnvelope) -> usize {
    let sizes = envelope.messages.iter().map(|message| match message {
        AgentMessage::Finished {
            outcome: TaskOutcome::Done(result),
            ..
        } => MESSAGE_OVERHEAD_BYTES + result.len(),
        _ => MESSAGE_OVERHEAD_BYTES,
    });
    sizes.sum()
}
