//! Routes submissions, status queries and cancellations to the entry that owns the job's shard.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{JobState, Route, Submission, WaiterKey};
use futures::channel::oneshot;
use futures::future::{Either, select};
use model::{Answer, FailureKind, FailureReason, JobKey, JobSpec, ProcessKey};
use protocol::{CancelReply, JobProgress, StatusReply, SubmitReply};
use runtime::{monotonic_us, unix_ms};

use crate::process::{Shared, WaiterReply};

/// Delay before a request is routed again, in milliseconds.
///
/// A change of owner takes a compare-and-swap and a watch event: tens of milliseconds.
const REROUTE_DELAY_MS: u64 = 25;

/// Time after a job's deadline during which its owner may still send the answer, in microseconds.
const OUTCOME_GRACE_US: u64 = 500_000;

/// Timeout of a status query or cancellation sent to a job's owner, in microseconds.
const QUERY_TIMEOUT_US: u64 = 2_000_000;

/// Maximum number of attempts to send a status query or cancellation to a job's owner.
const MAX_QUERY_ATTEMPTS: u32 = 20;

/// Removes a waiter from its job on drop, unless it has received a reply.
struct WaiterGuard {
    shared: Rc<Shared>,
    key: JobKey,
    waiter: WaiterKey,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let sender = self.shared.waiters.borrow_mut().remove(&self.waiter);
        if sender.is_some() {
            let mut dispatcher = self.shared.dispatcher.borrow_mut();
            dispatcher.remove_waiter(self.key, self.waiter);
        }
    }
}

impl Shared {
    /// Submits a job to the entry that owns its shard and returns the final answer.
    ///
    /// Routes the job again until an owner answers or the deadline has passed.
    pub async fn submit(self: &Rc<Self>, spec: JobSpec) -> Answer {
        let remaining_ms = spec.meta.deadline_unix_ms.saturating_sub(unix_ms());
        let give_up_us = monotonic_us() + remaining_ms * 1_000 + OUTCOME_GRACE_US;
        loop {
            let answer = self.submit_once(&spec, give_up_us).await;
            if let Some(answer) = answer {
                return answer;
            }
            if monotonic_us() >= give_up_us {
                return no_owner_answer();
            }
            monoio::time::sleep(Duration::from_millis(REROUTE_DELAY_MS)).await;
        }
    }

    async fn submit_once(self: &Rc<Self>, spec: &JobSpec, give_up_us: u64) -> Option<Answer> {
        let route = self.dispatcher.borrow().route(spec.meta.key);
        match route {
            Route::Own(_) => {
                let remaining_us = give_up_us.saturating_sub(monotonic_us());
                let submission = self.submit_local(spec.clone());
                monoio::time::timeout(Duration::from_micros(remaining_us), submission)
                    .await
                    .ok()
                    .flatten()
            }
            Route::Other { owner, address } => {
                self.forward(spec.clone(), owner, &address, give_up_us)
                    .await
            }
            Route::Unknown => None,
        }
    }

    /// Submits a job to the local dispatcher; returns `None` if another entry owns the shard.
    pub async fn submit_local(self: &Rc<Self>, spec: JobSpec) -> Option<Answer> {
        let key = spec.meta.key;
        let waiter = WaiterKey(self.next_waiter.get());
        self.next_waiter.set(waiter.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(waiter, sender);
        let _guard = WaiterGuard {
            shared: Rc::clone(self),
            key,
            waiter,
        };
        let mut actions = Vec::new();
        self.dispatcher.borrow_mut().submit(
            Submission { spec, waiter },
            monotonic_us(),
            unix_ms(),
            &mut actions,
        );
        self.perform(actions);
        self.wake();
        match receiver.await {
            Ok(WaiterReply::Answered(answer)) => Some(answer),
            Ok(WaiterReply::Reroute) | Err(_) => None,
        }
    }

    async fn forward(
        &self,
        spec: JobSpec,
        owner: ProcessKey,
        address: &str,
        give_up_us: u64,
    ) -> Option<Answer> {
        let key = spec.meta.key;
        let link = self.entries.link(address, Some(owner)).await.ok()?;
        let answered = pin!(link.submit(spec, 0, give_up_us));
        let owner_changed = pin!(self.wait_for_owner_change(key, owner));
        match select(answered, owner_changed).await {
            Either::Left((Ok(SubmitReply::Answered(answer)), _)) => Some(answer),
            Either::Left((Ok(SubmitReply::NotOwner { .. }), _)) => None,
            Either::Left((Err(error), _)) => {
                log::debug!("Entry {address} did not answer a submission: {error}.");
                None
            }
            // A suspended or partitioned owner keeps the connection open and never answers, so a
            // change of owner ends the wait.
            Either::Right(_) => None,
        }
    }

    /// Waits until the job's shard is no longer routed to `owner`.
    async fn wait_for_owner_change(&self, key: JobKey, owner: ProcessKey) {
        let is_replaced = || {
            let route = self.dispatcher.borrow().route(key);
            let is_same = matches!(route, Route::Other { owner: known, .. } if known == owner);
            (!is_same).then_some(())
        };
        self.owners_changed.wait_until(is_replaced).await;
    }

    /// Returns a job's status from its owner, or `None` if the owner cannot be reached.
    pub async fn query_status(self: &Rc<Self>, key: JobKey) -> Option<StatusReply> {
        for _ in 0..MAX_QUERY_ATTEMPTS {
            if let Some(reply) = self.local_status(key) {
                return Some(reply);
            }
            if let Some(link) = self.owner_link(key).await {
                let reply = link.status(key, monotonic_us() + QUERY_TIMEOUT_US).await;
                match reply {
                    Ok(StatusReply::NotOwner { .. }) | Err(_) => {}
                    Ok(reply) => return Some(reply),
                }
            }
            monoio::time::sleep(Duration::from_millis(REROUTE_DELAY_MS)).await;
        }
        None
    }

    /// Cancels a job at its owner; returns `None` if the owner cannot be reached.
    pub async fn request_cancel(self: &Rc<Self>, key: JobKey) -> Option<CancelReply> {
        for _ in 0..MAX_QUERY_ATTEMPTS {
            if let Some(reply) = self.cancel_local(key) {
                return Some(reply);
            }
            if let Some(link) = self.owner_link(key).await {
                let reply = link.cancel(key, monotonic_us() + QUERY_TIMEOUT_US).await;
                match reply {
                    Ok(CancelReply::NotOwner { .. }) | Err(_) => {}
                    Ok(reply) => return Some(reply),
                }
            }
            monoio::time::sleep(Duration::from_millis(REROUTE_DELAY_MS)).await;
        }
        None
    }

    async fn owner_link(&self, key: JobKey) -> Option<protocol::EntryLink> {
        let hint = self.owner_hint(key)?;
        self.entries
            .link(&hint.address, Some(hint.owner))
            .await
            .ok()
    }

    /// Returns a job's status if this entry owns its shard.
    pub fn local_status(&self, key: JobKey) -> Option<StatusReply> {
        let dispatcher = self.dispatcher.borrow();
        let Route::Own(shard) = dispatcher.route(key) else {
            return None;
        };
        Some(match dispatcher.job_state(shard, key) {
            JobState::InProgress(finished_count, task_count) => StatusReply::Pending(JobProgress {
                task_count,
                placed_count: 0,
                finished_count,
            }),
            JobState::Answered(answer) => StatusReply::Answered(answer),
            JobState::Unknown => StatusReply::NotFound,
        })
    }

    /// Cancels a job if this entry owns its shard.
    pub fn cancel_local(self: &Rc<Self>, key: JobKey) -> Option<CancelReply> {
        let Route::Own(_) = self.dispatcher.borrow().route(key) else {
            return None;
        };
        let mut actions = Vec::new();
        let answer =
            self.dispatcher
                .borrow_mut()
                .cancel(key, monotonic_us(), unix_ms(), &mut actions);
        self.perform(actions);
        self.wake();
        Some(answer.map_or(CancelReply::NotFound, CancelReply::Answered))
    }
}

fn no_owner_answer() -> Answer {
    // A duplicate submission may have reached an owner that is now unreachable, so the job may have
    // run.
    Answer::refused(
        FailureKind::MayHaveRun,
        FailureReason::NoOwner,
        "no owner of the job could be reached before the deadline",
        1_000,
    )
}
