//! Copies of submissions at entries: forwarding to owners, retries, answers and timeouts.

use dispatch::{Action, ShardOwner, Submission, WaiterKey};
use model::{Answer, FailureKind, FailureReason, JobKey, JobSpec, ProcessKey};

use crate::event::{CopyKey, EventKind, LossReason};
use crate::world::World;
use crate::world::message::{EntryEvent, Node, NodeIndex};
use crate::world::scenario::Step;

/// Time without an answer after which a copy is forwarded again, in microseconds.
const FORWARD_TIMEOUT_US: u64 = 1_000_000;

/// Delay before a copy is routed again whose owner is unknown or refused it, in microseconds.
const RETRY_DELAY_US: u64 = 50_000;

/// Time after the deadline at which an entry itself answers a copy as failed, in milliseconds.
const OWNER_GRACE_MS: u64 = 200;

/// Receiver of an owner's answer.
#[derive(Debug, Clone, Copy)]
pub enum Waiter {
    Local(CopyKey),
    Remote {
        entry: NodeIndex,
        key: ProcessKey,
        request: u64,
    },
}

/// An unanswered copy at the entry that accepted it.
#[derive(Debug)]
pub struct PendingCopy {
    pub spec: JobSpec,
    pub next_try_us: u64,
    /// Time until which the entry waits for the owner even if the deadline has passed.
    pub wait_until_us: u64,
}

impl World {
    pub(super) fn accept_copy(
        &mut self,
        index: NodeIndex,
        copy: CopyKey,
        spec: JobSpec,
        actions: &mut Vec<Action>,
    ) {
        if self.entries[index].is_stopping {
            self.record_unaccepted(copy);
            return;
        }
        self.clients.in_transit.remove(&copy);
        self.record_step(Step::Accept);
        self.record(EventKind::CopyAccepted(copy));
        let pending = PendingCopy {
            spec,
            next_try_us: 0,
            wait_until_us: self.now_us() + OWNER_GRACE_MS * 1_000,
        };
        self.entries[index].copies.insert(copy, pending);
        self.route_copy(index, copy, actions);
    }

    pub(super) fn record_unaccepted(&mut self, copy: CopyKey) {
        self.clients.in_transit.remove(&copy);
        let reason = LossReason::NeverAccepted;
        self.record(EventKind::CopyLost { copy, reason });
        self.client_lost(copy);
    }

    fn route_copy(&mut self, index: NodeIndex, copy: CopyKey, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(index);
        let true_us = self.now_us();
        let node = &mut self.entries[index];
        let Some(pending) = node.copies.get_mut(&copy) else {
            return;
        };
        let spec = pending.spec.clone();
        match node.dispatcher.owner_of(spec.meta.key) {
            ShardOwner::Own(_) => {
                pending.next_try_us = u64::MAX;
                let waiter = add_waiter(node, Waiter::Local(copy));
                let submission = Submission { spec, waiter };
                node.dispatcher
                    .submit(submission, now_us, now_unix_ms, actions);
            }
            ShardOwner::Other { owner, address } => {
                pending.next_try_us = true_us + FORWARD_TIMEOUT_US;
                let reply_to = node.key;
                let request = self.next_number(index);
                self.entries[index].requests.insert(request, copy);
                let forward = EntryEvent::Forward {
                    from: index,
                    reply_to,
                    to: owner,
                    request,
                    spec: Box::new(spec),
                };
                if let Some(Node::Entry(other)) = Node::from_address(&address) {
                    self.send_entry(index, other, forward);
                }
            }
            ShardOwner::Unknown => pending.next_try_us = true_us + RETRY_DELAY_US,
        }
    }

    pub(super) fn accept_forward(
        &mut self,
        index: NodeIndex,
        to: ProcessKey,
        waiter: Waiter,
        spec: JobSpec,
        actions: &mut Vec<Action>,
    ) {
        let (now_us, now_unix_ms) = self.entry_time(index);
        let node = &mut self.entries[index];
        let owns = matches!(node.dispatcher.owner_of(spec.meta.key), ShardOwner::Own(_));
        if to != node.key || !owns {
            self.reply(index, waiter, None);
            return;
        }
        let waiter = add_waiter(node, waiter);
        let submission = Submission { spec, waiter };
        node.dispatcher
            .submit(submission, now_us, now_unix_ms, actions);
    }

    fn reply(&mut self, index: NodeIndex, waiter: Waiter, answer: Option<Answer>) {
        match waiter {
            Waiter::Local(copy) => match answer {
                Some(answer) => self.answer_copy(index, copy, &answer),
                None => self.retry_copy(index, copy),
            },
            Waiter::Remote {
                entry,
                key,
                request,
            } => {
                let reply = EntryEvent::ForwardReply {
                    to: key,
                    request,
                    answer,
                };
                self.send_entry(index, entry, reply);
            }
        }
    }

    pub(super) fn handle_reply(&mut self, index: NodeIndex, request: u64, answer: Option<Answer>) {
        let Some(copy) = self.entries[index].requests.remove(&request) else {
            return;
        };
        match answer {
            Some(answer) => self.answer_copy(index, copy, &answer),
            None => self.retry_copy(index, copy),
        }
    }

    fn retry_copy(&mut self, index: NodeIndex, copy: CopyKey) {
        let at_us = self.now_us() + RETRY_DELAY_US;
        if let Some(pending) = self.entries[index].copies.get_mut(&copy) {
            pending.next_try_us = at_us;
        }
    }

    pub(super) fn answer_waiter(&mut self, index: NodeIndex, waiter: WaiterKey, answer: Answer) {
        if let Some(waiter) = self.entries[index].waiters.remove(&waiter) {
            self.reply(index, waiter, Some(answer));
        }
    }

    pub(super) fn reroute_waiter(&mut self, index: NodeIndex, waiter: WaiterKey) {
        if let Some(waiter) = self.entries[index].waiters.remove(&waiter) {
            self.reply(index, waiter, None);
        }
    }

    fn answer_copy(&mut self, index: NodeIndex, copy: CopyKey, answer: &Answer) {
        if self.entries[index].copies.remove(&copy).is_none() {
            return;
        }
        self.record(EventKind::Answered {
            copy,
            answer: answer.clone(),
        });
        self.client_answered(copy, answer);
    }

    /// Routes copies again whose owner has not answered, and answers as failed those that are past
    /// their deadline.
    pub(super) fn retry_copies(&mut self, index: NodeIndex, actions: &mut Vec<Action>) {
        let true_us = self.now_us();
        let (_, now_unix_ms) = self.entry_time(index);
        let mut due = Vec::new();
        let mut late = Vec::new();
        for (copy, pending) in &self.entries[index].copies {
            let late_ms = pending.spec.meta.deadline_unix_ms + OWNER_GRACE_MS;
            if now_unix_ms >= late_ms && true_us >= pending.wait_until_us {
                late.push(*copy);
            } else if pending.next_try_us <= true_us {
                due.push(*copy);
            }
        }
        for copy in late {
            let answer = Answer::failed(
                FailureKind::MayHaveRun,
                FailureReason::NoOwner,
                "no owner answered before the deadline",
            );
            self.answer_copy(index, copy, &answer);
        }
        for copy in due {
            self.route_copy(index, copy, actions);
        }
    }

    pub(super) fn route_cancel(
        &mut self,
        index: NodeIndex,
        job: JobKey,
        may_forward: bool,
        actions: &mut Vec<Action>,
    ) {
        let (now_us, now_unix_ms) = self.entry_time(index);
        let dispatcher = &mut self.entries[index].dispatcher;
        match dispatcher.owner_of(job) {
            ShardOwner::Own(_) => {
                self.record_step(Step::Cancel);
                let dispatcher = &mut self.entries[index].dispatcher;
                dispatcher.cancel(job, now_us, now_unix_ms, actions);
            }
            ShardOwner::Other { address, .. } if may_forward => {
                if let Some(Node::Entry(other)) = Node::from_address(&address) {
                    self.send_entry(index, other, EntryEvent::ForwardCancel(job));
                }
            }
            _ => {}
        }
    }
}

fn add_waiter(node: &mut super::entry::EntryNode, waiter: Waiter) -> WaiterKey {
    node.next_number += 1;
    let key = WaiterKey(node.next_number);
    node.waiters.insert(key, waiter);
    key
}
