//! Copies of submissions at entries: forwarding to owners, answers and time-outs.

use dispatch::{Action, Route, Submission, WaiterKey};
use model::{Answer, FailureKind, FailureReason, JobKey, JobSpec, ProcessKey};

use crate::event::{CopyKey, EventKind, LossReason};
use crate::world::World;
use crate::world::message::{EntryEvent, Node, Place};
use crate::world::scenario::Step;

/// Time after which an owner's answer is asked for again, in microseconds.
const FORWARD_TIMEOUT_US: u64 = 1_000_000;

/// Pause before a copy whose owner is not known is routed again, in microseconds.
const RETRY_US: u64 = 50_000;

/// Time after the deadline at which an entry answers in the owner's stead, in milliseconds.
const GIVE_UP_MS: u64 = 200;

/// Whom an answer of the owner is for.
#[derive(Debug, Clone, Copy)]
pub enum Waiter {
    Local(CopyKey),
    Remote {
        entry: Place,
        key: ProcessKey,
        request: u64,
    },
}

/// A copy that waits at the entry that accepted it.
#[derive(Debug)]
pub struct PendingCopy {
    pub spec: JobSpec,
    pub next_try_us: u64,
    /// Time before which the owner is waited for, also past the deadline.
    pub wait_until_us: u64,
}

impl World {
    pub(super) fn accept_copy(
        &mut self,
        place: Place,
        copy: CopyKey,
        spec: JobSpec,
        actions: &mut Vec<Action>,
    ) {
        if self.entries[place].stopping {
            self.lose_unaccepted(copy);
            return;
        }
        self.clients.in_transit.remove(&copy);
        self.note(Step::Accept);
        self.record(EventKind::CopyAccepted(copy));
        let pending = PendingCopy {
            spec,
            next_try_us: 0,
            wait_until_us: self.now_us() + GIVE_UP_MS * 1_000,
        };
        self.entries[place].copies.insert(copy, pending);
        self.route_copy(place, copy, actions);
    }

    pub(super) fn lose_unaccepted(&mut self, copy: CopyKey) {
        self.clients.in_transit.remove(&copy);
        let reason = LossReason::NeverAccepted;
        self.record(EventKind::CopyLost { copy, reason });
        self.client_lost(copy);
    }

    fn route_copy(&mut self, place: Place, copy: CopyKey, actions: &mut Vec<Action>) {
        let (now_us, now_unix_ms) = self.entry_time(place);
        let true_us = self.now_us();
        let node = &mut self.entries[place];
        let Some(pending) = node.copies.get_mut(&copy) else {
            return;
        };
        let spec = pending.spec.clone();
        match node.dispatcher.route(spec.meta.key) {
            Route::Own(_) => {
                pending.next_try_us = u64::MAX;
                let waiter = add_waiter(node, Waiter::Local(copy));
                let submission = Submission { spec, waiter };
                node.dispatcher
                    .submit(submission, now_us, now_unix_ms, actions);
            }
            Route::Other { owner, address } => {
                pending.next_try_us = true_us + FORWARD_TIMEOUT_US;
                let reply_to = node.key;
                let request = self.next_number(place);
                self.entries[place].requests.insert(request, copy);
                let forward = EntryEvent::Forward {
                    from: place,
                    reply_to,
                    to: owner,
                    request,
                    spec: Box::new(spec),
                };
                if let Some(Node::Entry(other)) = Node::from_address(&address) {
                    self.send_entry(place, other, forward);
                }
            }
            Route::Unknown => pending.next_try_us = true_us + RETRY_US,
        }
    }

    pub(super) fn accept_forward(
        &mut self,
        place: Place,
        to: ProcessKey,
        waiter: Waiter,
        spec: JobSpec,
        actions: &mut Vec<Action>,
    ) {
        let (now_us, now_unix_ms) = self.entry_time(place);
        let node = &mut self.entries[place];
        let owns = matches!(node.dispatcher.route(spec.meta.key), Route::Own(_));
        if to != node.key || !owns {
            self.reply(place, waiter, None);
            return;
        }
        let waiter = add_waiter(node, waiter);
        let submission = Submission { spec, waiter };
        node.dispatcher
            .submit(submission, now_us, now_unix_ms, actions);
    }

    fn reply(&mut self, place: Place, waiter: Waiter, answer: Option<Answer>) {
        match waiter {
            Waiter::Local(copy) => match answer {
                Some(answer) => self.answer_copy(place, copy, &answer),
                None => self.retry_copy(place, copy),
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
                self.send_entry(place, entry, reply);
            }
        }
    }

    pub(super) fn take_reply(&mut self, place: Place, request: u64, answer: Option<Answer>) {
        let Some(copy) = self.entries[place].requests.remove(&request) else {
            return;
        };
        match answer {
            Some(answer) => self.answer_copy(place, copy, &answer),
            None => self.retry_copy(place, copy),
        }
    }

    fn retry_copy(&mut self, place: Place, copy: CopyKey) {
        let at_us = self.now_us() + RETRY_US;
        if let Some(pending) = self.entries[place].copies.get_mut(&copy) {
            pending.next_try_us = at_us;
        }
    }

    pub(super) fn answer_waiter(&mut self, place: Place, waiter: WaiterKey, answer: Answer) {
        if let Some(waiter) = self.entries[place].waiters.remove(&waiter) {
            self.reply(place, waiter, Some(answer));
        }
    }

    pub(super) fn reroute_waiter(&mut self, place: Place, waiter: WaiterKey) {
        if let Some(waiter) = self.entries[place].waiters.remove(&waiter) {
            self.reply(place, waiter, None);
        }
    }

    fn answer_copy(&mut self, place: Place, copy: CopyKey, answer: &Answer) {
        if self.entries[place].copies.remove(&copy).is_none() {
            return;
        }
        self.record(EventKind::Answered {
            copy,
            answer: answer.clone(),
        });
        self.client_answered(copy, answer);
    }

    /// Routes copies again whose owner is silent, and answers those that nobody answered.
    pub(super) fn retry_copies(&mut self, place: Place, actions: &mut Vec<Action>) {
        let true_us = self.now_us();
        let (_, now_unix_ms) = self.entry_time(place);
        let mut due = Vec::new();
        let mut late = Vec::new();
        for (copy, pending) in &self.entries[place].copies {
            let late_ms = pending.spec.meta.deadline_unix_ms + GIVE_UP_MS;
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
            self.answer_copy(place, copy, &answer);
        }
        for copy in due {
            self.route_copy(place, copy, actions);
        }
    }

    pub(super) fn route_cancel(
        &mut self,
        place: Place,
        job: JobKey,
        may_forward: bool,
        actions: &mut Vec<Action>,
    ) {
        let (now_us, now_unix_ms) = self.entry_time(place);
        let dispatcher = &mut self.entries[place].dispatcher;
        match dispatcher.route(job) {
            Route::Own(_) => {
                self.note(Step::Cancel);
                let dispatcher = &mut self.entries[place].dispatcher;
                dispatcher.cancel(job, now_us, now_unix_ms, actions);
            }
            Route::Other { address, .. } if may_forward => {
                if let Some(Node::Entry(other)) = Node::from_address(&address) {
                    self.send_entry(place, other, EntryEvent::ForwardCancel(job));
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
