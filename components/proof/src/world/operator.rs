//! Calls of the platform by entries and operators, and what it sends of its own.

use dispatch::SwapOutcome;
use model::ShardKey;

use crate::event::{EventKind, SwapOutcome as EditOutcome};
use crate::world::message::{
    Caller, ClientEvent, EntryEvent, Event, Node, PlatformCall, PlatformRequest, Snapshot,
};
use crate::world::scenario::Step;
use crate::world::{ENTRIES, World};

/// Time of an operator's call to the platform, in microseconds.
const OPERATOR_DELAY_US: u64 = 2_000;

/// Time after which an operator takes an answer as lost, in microseconds.
const OPERATOR_TIMEOUT_US: u64 = 3_000_000;

/// Share of calls without effect while the platform loses answers.
const LOST_BEFORE: f64 = 0.3;

/// Share of calls whose effect comes late while the platform loses answers.
const DELAYED_EFFECT: f64 = 0.3;

/// Share of calls that are answered while the platform loses answers.
const ANSWERED: f64 = 0.2;

impl World {
    pub(super) fn platform_call(&mut self, mut call: PlatformCall) {
        if self.platform.down {
            // A connection is refused, or was open and tells nothing.
            if self.rng.chance(0.5) {
                self.refuse_call(&call);
            }
            return;
        }
        if self.platform.loses_answers && !call.unanswered && !self.rng.chance(ANSWERED) {
            if self.rng.chance(LOST_BEFORE) {
                return;
            }
            call.unanswered = true;
            if self.rng.chance(DELAYED_EFFECT) {
                let at_us = self.now_us() + self.rng.range(100_000..=4_000_000);
                self.net.schedule(at_us, Event::Platform(Box::new(call)));
                return;
            }
        }
        let unanswered = call.unanswered;
        match call.request {
            PlatformRequest::Swap {
                number,
                expected_revision,
                record,
            } => {
                let shard = record.shard;
                let outcome = self.platform.swap(record, expected_revision);
                let changed = matches!(outcome, SwapOutcome::Done(_));
                if !unanswered {
                    self.answer_swap(call.from, number, outcome);
                }
                if changed {
                    self.notify_record(shard);
                }
            }
            PlatformRequest::Read if !unanswered => self.answer_read(call.from),
            PlatformRequest::Read => {}
            PlatformRequest::Publish {
                operation,
                expected_revision,
                value_digest,
            } => {
                self.note(Step::Publish);
                let accepted = self.platform.publish(expected_revision, value_digest);
                if !unanswered {
                    self.answer_publish(call.from, operation, expected_revision, accepted);
                }
                if accepted.is_some() {
                    self.notify_rules();
                }
            }
            PlatformRequest::ReadConfig { operation } if !unanswered => {
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
        if self.platform.slow {
            return self.rng.range(300_000..=2_500_000);
        }
        self.rng.range(500..=3_000)
    }

    fn tell_entry(&mut self, place: usize, event: EntryEvent) {
        let at_us = self.now_us() + self.platform_delay_us();
        let (from, to) = (Node::Platform.endpoint(), Node::Entry(place).endpoint());
        self.net.send(at_us, from, to, Event::Entry(place, event));
    }

    fn answer_swap(&mut self, to: Caller, number: u64, outcome: SwapOutcome) {
        if let Caller::Entry(place, key) = to {
            self.tell_entry(place, EntryEvent::SwapReply(key, number, outcome));
        }
    }

    fn answer_read(&mut self, to: Caller) {
        if let Caller::Entry(place, _) = to {
            let snapshot = Box::new(self.platform.snapshot());
            self.tell_entry(place, EntryEvent::Records(snapshot));
        }
    }

    fn notify_record(&mut self, shard: ShardKey) {
        let Some(record) = self.platform.records.get(&shard).cloned() else {
            return;
        };
        for place in 0..ENTRIES {
            let snapshot = Snapshot {
                records: vec![record.clone()],
                ..Snapshot::default()
            };
            self.tell_entry(place, EntryEvent::Records(Box::new(snapshot)));
        }
    }

    fn notify_rules(&mut self) {
        let rules = self.platform.rules();
        for place in 0..ENTRIES {
            let snapshot = Snapshot {
                rules: rules.clone(),
                ..Snapshot::default()
            };
            self.tell_entry(place, EntryEvent::Records(Box::new(snapshot)));
        }
    }

    /// Lets an operator edit the configuration it has last seen.
    pub(super) fn edit(&mut self, operator: u32) {
        let operation = self.clients.next_operation();
        let expected_revision = self.clients.seen_revision(operator);
        let value_digest = 1 + operation;
        self.record(EventKind::SwapCalled {
            operation,
            operator,
            expected_revision,
            value_digest,
        });
        self.clients.open_edit(operator, operation);
        let request = PlatformRequest::Publish {
            operation,
            expected_revision,
            value_digest,
        };
        self.call_as_operator(operator, request);
        let at_us = self.now_us() + OPERATOR_TIMEOUT_US;
        let late = ClientEvent::Published {
            operator,
            operation,
        };
        self.net.schedule(at_us, Event::Client(late));
    }

    fn call_as_operator(&mut self, operator: u32, request: PlatformRequest) {
        let call = PlatformCall {
            from: Caller::Operator(operator),
            request,
            unanswered: false,
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
        if !self.clients.close_edit(editor, operation) {
            return;
        }
        let outcome = match accepted {
            Some(revision) => EditOutcome::Accepted { revision },
            None => EditOutcome::Conflict,
        };
        self.record(EventKind::SwapReturned { operation, outcome });
        match accepted {
            Some(revision) => {
                self.clients.saw_revision(editor, revision);
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

    /// Gives up an edit whose answer was lost.
    pub(super) fn time_out_edit(&mut self, operator: u32, operation: u64) {
        if !self.clients.close_edit(operator, operation) {
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
        self.clients.saw_revision(operator, revision);
        self.record(EventKind::ReadReturned {
            operation,
            revision,
            value_digest,
        });
    }
}
