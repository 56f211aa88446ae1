//! The event loop: polls the dispatcher and executes the actions that it returns.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Action, SwapOutcome};
use model::{ShardKey, ShardRecord};
use platform::{PlatformError, Swap, Versioned};
use runtime::{monotonic_us, unix_ms};

use crate::process::{Shared, WaiterReply};

/// Maximum time between two polls of the dispatcher, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 50;

/// Key prefix of the shard records in the platform.
pub const SHARD_PREFIX: &str = "/shallotcross/shards/";

impl Shared {
    /// Wakes the event loop to poll the dispatcher.
    pub fn wake(&self) {
        self.is_wakeup_pending.set(true);
        self.wakeup.notify_all();
    }

    /// Polls the dispatcher when it is due or woken; never returns.
    pub async fn run_event_loop(self: Rc<Self>) {
        loop {
            let mut actions = Vec::new();
            let now_us = monotonic_us();
            self.dispatcher
                .borrow_mut()
                .poll(now_us, unix_ms(), &mut actions);
            self.perform(actions);
            let wake_us = self.dispatcher.borrow().next_wake_us(now_us);
            let remaining_us = wake_us.saturating_sub(now_us);
            let wait = Duration::from_micros(remaining_us.clamp(500, MAX_POLL_INTERVAL_MS * 1_000));
            let woken = self
                .wakeup
                .wait_until(|| self.is_wakeup_pending.take().then_some(()));
            let _ = monoio::time::timeout(wait, woken).await;
        }
    }

    /// Executes actions of the dispatcher.
    pub fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, envelope } => {
                    monoio::spawn(Rc::clone(self).send_to_agent(address, envelope));
                }
                Action::Answer { waiter, answer } => {
                    self.reply_to_waiter(waiter, WaiterReply::Answered(answer));
                }
                Action::Reroute { waiter } => self.reply_to_waiter(waiter, WaiterReply::Reroute),
                Action::CompareAndSwap {
                    shard,
                    expected_revision,
                    record,
                } => {
                    monoio::spawn(Rc::clone(self).write_shard_record(
                        shard,
                        expected_revision,
                        record,
                    ));
                }
                Action::ReadRecord { shard } => {
                    monoio::spawn(Rc::clone(self).read_shard_record(shard));
                }
                Action::HandOver {
                    shard,
                    to,
                    address,
                    table,
                } => {
                    monoio::spawn(Rc::clone(self).offer_shard(shard, to, address, table));
                }
            }
        }
    }

    fn reply_to_waiter(&self, waiter: dispatch::WaiterKey, reply: WaiterReply) {
        if let Some(sender) = self.waiters.borrow_mut().remove(&waiter) {
            // Fails if the caller has disconnected.
            let _ = sender.send(reply);
        }
    }

    async fn write_shard_record(
        self: Rc<Self>,
        shard: ShardKey,
        expected_revision: u64,
        record: ShardRecord,
    ) {
        let outcome = match serde_json::to_vec(&record) {
            Ok(value) => {
                self.platform
                    .compare_and_swap(
                        &shard_path(shard),
                        expected_revision,
                        Bytes::from(value),
                        None,
                    )
                    .await
            }
            Err(error) => Err(PlatformError::NotApplied(error.to_string())),
        };
        let outcome = match outcome {
            Ok(Swap::Done { revision }) => {
                self.note_platform_response();
                SwapOutcome::Done(revision)
            }
            Ok(Swap::Conflict { .. }) => {
                self.note_platform_response();
                SwapOutcome::Conflict
            }
            Err(PlatformError::Unknown(cause)) => {
                log::warn!("Shard {shard}: the platform's answer was lost: {cause}.");
                SwapOutcome::Unknown
            }
            Err(error) => {
                log::warn!("Shard {shard}: the record was not written: {error}.");
                SwapOutcome::NotApplied
            }
        };
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().compare_and_swap_done(
            shard,
            &outcome,
            monotonic_us(),
            unix_ms(),
            &mut actions,
        );
        self.perform(actions);
        self.owners_changed.notify_all();
        self.wake();
    }

    async fn read_shard_record(self: Rc<Self>, shard: ShardKey) {
        match self.platform.get(&shard_path(shard)).await {
            Ok(Some(versioned)) => {
                self.note_platform_response();
                self.apply_shard_record(&versioned);
            }
            Ok(None) => log::warn!("Shard {shard} has no record."),
            Err(error) => log::warn!("Shard {shard}: the record was not read: {error}."),
        }
    }

    /// Passes a shard record read from the platform to the dispatcher.
    pub fn apply_shard_record(self: &Rc<Self>, versioned: &Versioned) {
        let record: ShardRecord = match serde_json::from_slice(&versioned.value) {
            Ok(record) => record,
            Err(error) => {
                log::error!("A shard's record cannot be read: {error}.");
                return;
            }
        };
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().apply_record(
            record,
            versioned.mod_revision,
            monotonic_us(),
            unix_ms(),
            &mut actions,
        );
        self.perform(actions);
        self.owners_changed.notify_all();
        self.wake();
    }

    /// Records the time at which the platform answered.
    pub fn note_platform_response(&self) {
        self.last_platform_response_us.set(monotonic_us());
    }
}

fn shard_path(shard: ShardKey) -> String {
    format!("{SHARD_PREFIX}{shard}")
}
