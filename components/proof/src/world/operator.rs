//! Calls of entries and operators to the platform, its notifications, and the operators' edits.

use dispatch::SwapOutcome;
use model::ShardKey;

use crate::event::{EventKind, SwapOutcome as EditOutcome};
use crate::world::message::{
    Caller, ClientEvent, EntryEvent, Event, Node, PlatformCall, PlatformRequest, Snapshot,
};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// One-way delay of an operator's call to the platform, in microseconds.
const OPERATOR_DELAY_US: u64 = 2_000;

/// Timeout of an operator's edit, in microseconds.
const OPERATOR_TIMEOUT_US: u64 = 3_000_000;

/// Probability that a call whose answer is lost has no effect.
const LOST_REQUEST_PROBABILITY: f64 = 0.3;

/// Probability that the effect of a call whose answer is lost is delayed.
const DELAYED_EFFECT_PROBABILITY: f64 = 0.3;

/// Probability that a call is answered while the platform loses answers.
const ANSWERED_PROBABILITY: f64 = 0.2;

impl World {
    pub(super) fn platform_call(&mut self, mut call: PlatformCall) {
        if self.platform.is_down {
            // Either the connection is refused, or an open connection gives no answer.
            if self.rng.chance(0.5) {
                self.refuse_call(&call);
            }
            return;
        }
        if self.platform.is_losing_answers
            && !call.is_answer_lost
            && !self.rng.chance(ANSWERED_PROBABILITY)
        {
            if self.rng.chance(LOST_REQUEST_PROBABILITY) {
                return;
            }
            call.is_answer_lost = true;
            if self.rng.chance(DELAYED_EFFECT_PROBABILITY) {
                let at_us = self.now_us() + self.rng.range(100_000..=4_000_000);
                self.net.schedule(at_us, Event::Platform(Box::new(call)));
                return;
            }
        }
        let is_answer_lost = call.is_answer_lost;
        match call.request {
            PlatformRequest::Swap {
                number,
                expected_revision,
                record,
            } => {
                let shard = record.shard;
                let outcome = self.platform.swap(record, expected_revision);
                let changed = matches!(outcome, SwapOutcome::Done(_));
                if !is_answer_lost {
                    self.answer_swap(call.from, number, outcome);
                }
                if changed {
                    self.notify_record(shard);
                }
            }
            PlatformRequest::Read if !is_answer_lost => self.answer_read(call.from),
            PlatformRequest::Read => {}
            PlatformRequest::Publish {
                operation,
                expected_revision,
                value_digest,
            } => {
                self.record_step(Step::Publish);
                let accepted = self.platform.publish(expected_revision, value_digest);
                if !is_answer_lost {
                    self.answer_publish(call.from, operation, expected_revision, accepted);
                }
                if accepted.is_some() {
                    self.notify_rules();
                }
            }
            PlatformRequest::ReadConfig { operation } if !is_answer_lost => {
                self.answer_config(call.from, operation);
            }
            PlatformRequest::ReadConfig { .. } => {}
        }
    }

    fn refuse_call(&mut self, call: &PlatformCall) {
        if let PlatformRequest::Swap { number, .. } = &call.request {
            self.answer_swap(call.from, *number, SwapOutcome::NotApplied);
        }
    }

    fn platform_delay_us(&mut self) -> u64 {
        if self.platform.is_slow {
            return self.rng.range(300_000..=2_500_000);
        }
        self.rng.range(500..=3_000)
    }

    fn send_to_entry(&mut self, index: usize, event: EntryEvent) {
        let at_us = self.now_us() + self.platform_delay_us();
        let (from, to) = (Node::Platform.endpoint(), Node::Entry(index).endpoint());
        self.net.send(at_us, from, to, Event::Entry(index, event));
    }

    fn answer_swap(&mut self, to: Caller, number: u64, outcome: SwapOutcome) {
        if let Caller::Entry(index, key) = to {
            self.send_to_entry(index, EntryEvent::SwapReply(key, number, outcome));
        }
    }

    fn answer_read(&mut self, to: Caller) {
        if let Caller::Entry(index, _) = to {
            let snapshot = Box::new(self.platform.snapshot());
            self.send_to_entry(index, EntryEvent::Records(snapshot));
        }
    }

    fn notify_record(&mut self, shard: ShardKey) {
        let Some(record) = self.platform.records.get(&shard).cloned() else {
            return;
        };
        for index in 0..ENTRIES {
            let snapshot = Snapshot {
                records: vec![record.clone()],
                ..Snapshot::default()
            };
            self.send_to_entry(index, EntryEvent::Records(Box::new(snapshot)));
        }
    }

    fn notify_rules(&mut self) {
        let rules = self.platform.rules();
        for index in 0..ENTRIES {
            let snapshot = Snapshot {
                rules: rules.clone(),
                ..Snapshot::default()
            };
            self.send_to_entry(index, EntryEvent::Records(Box::new(snapshot)));
        }
    }

    /// Publishes an edit based on the newest revision that the operator has observed.
    pub(super) fn edit(&mut self, operator: u32) {
        let operation = self.clients.next_operation();
        let expected_revision = self.clients.observed_revision(operator);
        let value_digest = 1 + operation;
        self.record(EventKind::SwapCalled {
            operation,
            operator,
            expected_revision,
            value_digest,
        });
        self.clients.start_edit(operator, operation);
        let request = PlatformRequest::Publish {
            operation,
            expected_revision,
            value_digest,
        };
        self.call_as_operator(operator, request);
        let at_us = self.now_us() + OPERATOR_TIMEOUT_US;
        let late = ClientEvent::EditTimeout {
            operator,
            operation,
        };
        self.net.schedule(at_us, Event::Client(late));
    }

    fn call_as_operator(&mut self, operator: u32, request: PlatformRequest) {
        let call = PlatformCall {
            from: Caller::Operator(operator),
            request,
            is_answer_lost: false,
        };
        let at_us = self.now_us() + OPERATOR_DELAY_US;
        self.net.schedule(at_us, Event::Platform(Box::new(call)));
    }

    fn answer_publish(
        &mut self,
        to: Caller,
        operation: u64,
        expected_revision: u64,
        accepted: Option<u64>,
    ) {
        let Caller::Operator(editor) = to else {
            return;
        };
        if !self.clients.finish_edit(editor, operation) {
            return;
        }
        let outcome = match accepted {
            Some(revision) => EditOutcome::Accepted { revision },
            None => EditOutcome::Conflict,
        };
        self.record(EventKind::SwapReturned { operation, outcome });
        match accepted {
            Some(revision) => {
                self.clients.observe_revision(editor, revision);
                self.record(EventKind::ConfigAccepted { revision, editor });
            }
            None => {
                self.record(EventKind::ConfigRefused {
                    expected_revision,
                    editor,
                });
                self.read_config(editor);
            }
        }
    }

    /// Ends the wait for an edit whose answer was lost.
    pub(super) fn time_out_edit(&mut self, operator: u32, operation: u64) {
        if !self.clients.finish_edit(operator, operation) {
            return;
        }
        let outcome = EditOutcome::Unknown;
        self.record(EventKind::SwapReturned { operation, outcome });
        self.read_config(operator);
    }

    fn read_config(&mut self, operator: u32) {
        let operation = self.clients.next_operation();
        self.record(EventKind::ReadCalled {
            operation,
            operator,
        });
        self.call_as_operator(operator, PlatformRequest::ReadConfig { operation });
    }

    fn answer_config(&mut self, to: Caller, operation: u64) {
        let Caller::Operator(operator) = to else {
            return;
        };
        let revision = self.platform.config_revision;
        let value_digest = self.platform.config_digest;
        self.clients.observe_revision(operator, revision);
        self.record(EventKind::ReadReturned {
            operation,
            revision,
            value_digest,
        });
    }
}
