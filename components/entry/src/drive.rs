//! The loop around the decisions.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Action, SwapOutcome};
use model::{ShardKey, ShardRecord};
use platform::{PlatformError, Swap, Versioned};
use runtime::{monotonic_us, unix_ms};

use crate::process::{Shared, WaiterReply};

/// Longest pause of the loop, in milliseconds.
const MAX_PAUSE_MS: u64 = 50;

/// Prefix of the keys of shards' records in the platform.
pub const SHARD_PREFIX: &str = "/shallotcross/shards/";

impl Shared {
    /// Lets the loop look for what is due.
    pub fn wake(&self) {
        self.work_due.set(true);
        self.work.notify_all();
    }

    /// Runs the loop; never returns.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let mut actions = Vec::new();
            let now_us = monotonic_us();
            self.core.borrow_mut().poll(now_us, unix_ms(), &mut actions);
            self.perform(actions);
            let wake_us = self.core.borrow().next_wake_us(now_us);
            let left_us = wake_us.saturating_sub(now_us);
            let pause = Duration::from_micros(left_us.clamp(500, MAX_PAUSE_MS * 1_000));
            let due = self.work.wait_until(|| self.work_due.take().then_some(()));
            let _ = monoio::time::timeout(pause, due).await;
        }
    }

    /// Does what the decisions ask for.
    pub fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, envelope } => {
                    monoio::spawn(Rc::clone(self).send_to_agent(address, envelope));
                }
                Action::Answer { waiter, answer } => {
                    self.tell(waiter, WaiterReply::Answered(answer));
                }
                Action::Moved { waiter } => self.tell(waiter, WaiterReply::Moved),
                Action::Swap {
                    shard,
                    expected_revision,
                    record,
                } => {
                    monoio::spawn(Rc::clone(self).swap(shard, expected_revision, record));
                }
                Action::Read { shard } => {
                    monoio::spawn(Rc::clone(self).read(shard));
                }
                Action::HandOver {
                    shard,
                    to,
                    address,
                    table,
                } => {
                    monoio::spawn(Rc::clone(self).offer(shard, to, address, table));
                }
            }
        }
    }

    fn tell(&self, waiter: dispatch::WaiterKey, reply: WaiterReply) {
        if let Some(sender) = self.waiters.borrow_mut().remove(&waiter) {
            // The copy's client may have gone away.
            let _ = sender.send(reply);
        }
    }

    async fn swap(self: Rc<Self>, shard: ShardKey, expected_revision: u64, record: ShardRecord) {
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
                self.platform_reached();
                SwapOutcome::Done(revision)
            }
            Ok(Swap::Conflict { .. }) => {
                self.platform_reached();
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
        self.core
            .borrow_mut()
            .swap_done(shard, &outcome, monotonic_us(), unix_ms(), &mut actions);
        self.perform(actions);
        self.routes.notify_all();
        self.wake();
    }

    async fn read(self: Rc<Self>, shard: ShardKey) {
        match self.platform.get(&shard_path(shard)).await {
            Ok(Some(versioned)) => {
                self.platform_reached();
                self.record_read(&versioned);
            }
            Ok(None) => log::warn!("Shard {shard} has no record."),
            Err(error) => log::warn!("Shard {shard}: the record was not read: {error}."),
        }
    }

    /// Takes in a shard's record from the platform.
    pub fn record_read(self: &Rc<Self>, versioned: &Versioned) {
        let record: ShardRecord = match serde_json::from_slice(&versioned.value) {
            Ok(record) => record,
            Err(error) => {
                log::error!("A shard's record cannot be read: {error}.");
                return;
            }
        };
        let mut actions = Vec::new();
        self.core.borrow_mut().record_seen(
            record,
            versioned.mod_revision,
            monotonic_us(),
            unix_ms(),
            &mut actions,
        );
        self.perform(actions);
        self.routes.notify_all();
        self.wake();
    }

    /// Notes that the platform answered.
    pub fn platform_reached(&self) {
        self.platform_reached_us.set(monotonic_us());
    }
}

fn shard_path(shard: ShardKey) -> String {
    format!("{SHARD_PREFIX}{shard}")
}
