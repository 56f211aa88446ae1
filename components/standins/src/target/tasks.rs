//! Runs tasks in a fixed number of slots and applies the injected faults.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use monoio::time::sleep;
use serde::Deserialize;
use targets::{TaskId, not_started_response, parse_task_id};
use web::{Notify, Request, Response};

use super::faults::{TargetFaultMode, TargetFaults};
use super::starts::{StartLog, Starts};

/// Payload fields that control the run; other fields are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Payload {
    run_ms: u64,
    fail: bool,
}

pub(super) struct TaskRunner {
    slots: u16,
    speed: f64,
    running: Cell<u16>,
    faults: Cell<TargetFaults>,
    fault_generation: Cell<u64>,
    is_departure_skipped: Cell<bool>,
    start_log: RefCell<StartLog>,
    notify: Notify,
    created_at: Instant,
}

/// Occupied slot, released on drop.
struct Slot<'a>(&'a Cell<u16>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl TaskRunner {
    pub(super) fn new(slots: u16, speed: f64) -> Self {
        Self {
            slots,
            speed,
            running: Cell::new(0),
            faults: Cell::default(),
            fault_generation: Cell::new(0),
            is_departure_skipped: Cell::new(false),
            start_log: RefCell::default(),
            notify: Notify::default(),
            created_at: Instant::now(),
        }
    }

    pub(super) fn faults(&self) -> TargetFaults {
        self.faults.get()
    }

    pub(super) fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
        self.fault_generation.set(self.fault_generation.get() + 1);
        self.notify.notify_all();
    }

    pub(super) fn starts(&self) -> Starts {
        self.start_log.borrow().starts().clone()
    }

    pub(super) fn skip_departure(&self) {
        self.is_departure_skipped.set(true);
    }

    pub(super) fn is_departure_skipped(&self) -> bool {
        self.is_departure_skipped.get()
    }

    pub(super) async fn wait_for_starts(&self, count: usize) {
        let is_reached = || (self.start_log.borrow().starts().starts.len() >= count).then_some(());
        self.notify.wait_until(is_reached).await;
    }

    pub(super) async fn run(&self, request: &Request) -> Response {
        let id = match parse_task_id(request) {
            Ok(id) => id,
            Err(error) => return Response::error(400, &error.to_string()),
        };
        let mut faults = self.faults.get();
        let mode = faults.next_mode();
        self.faults.set(faults);
        if mode == TargetFaultMode::Refuse {
            return not_started_response("refused");
        }
        let Some(_slot) = self.acquire_slot() else {
            return not_started_response("no free slot");
        };
        self.record_start(&id);
        self.run_task(request, mode, faults.slow_factor).await
    }

    fn acquire_slot(&self) -> Option<Slot<'_>> {
        let running = self.running.get();
        if running >= self.slots {
            return None;
        }
        self.running.set(running + 1);
        Some(Slot(&self.running))
    }

    fn record_start(&self, id: &TaskId) {
        let started_ms = self.created_at.elapsed().as_millis() as u64;
        self.start_log.borrow_mut().record(id, started_ms);
        self.notify.notify_all();
    }

    async fn run_task(&self, request: &Request, mode: TargetFaultMode, factor: f64) -> Response {
        let payload: Payload = request.parse().unwrap_or_default();
        match mode {
            TargetFaultMode::FailFast => return Response::error(500, "the target is broken"),
            TargetFaultMode::Hang => {
                self.wait_for_fault_change().await;
                return Response::disconnect();
            }
            TargetFaultMode::Cut => {
                self.simulate(&payload, 0.5).await;
                return Response::disconnect();
            }
            TargetFaultMode::Slow => self.simulate(&payload, factor).await,
            TargetFaultMode::None | TargetFaultMode::Refuse => self.simulate(&payload, 1.0).await,
        }
        if payload.fail {
            return Response::error(500, "the payload asks for a failure");
        }
        let mut response = Response::empty(200);
        response.body = request.body.clone();
        response
    }

    /// Sleeps for the payload's run time, scaled by `factor` and the configured speed.
    async fn simulate(&self, payload: &Payload, factor: f64) {
        let run_ms = payload.run_ms as f64 * factor / self.speed;
        if run_ms > 0.0 {
            sleep(Duration::from_micros((run_ms * 1_000.0) as u64)).await;
        }
    }

    async fn wait_for_fault_change(&self) {
        let initial_generation = self.fault_generation.get();
        let has_changed = || (self.fault_generation.get() != initial_generation).then_some(());
        self.notify.wait_until(has_changed).await;
    }
}
