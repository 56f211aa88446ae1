//! Runs tasks in slots.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use monoio::time::sleep;
use serde::Deserialize;
use targets::{TaskId, not_started_response, parse_task_id};
use web::{Notify, Request, Response};

use super::faults::{TargetFaultMode, TargetFaults};
use super::starts::{StartLog, Starts};

/// What a payload says about the run; other fields are left to the client.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Payload {
    run_ms: u64,
    fail: bool,
}

pub(super) struct Tasks {
    slots: u16,
    speed: f64,
    running: Cell<u16>,
    faults: Cell<TargetFaults>,
    fault_changes: Cell<u64>,
    silent: Cell<bool>,
    log: RefCell<StartLog>,
    notify: Notify,
    created_at: Instant,
}

/// One occupied slot.
struct Slot<'a>(&'a Cell<u16>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Tasks {
    pub(super) fn new(slots: u16, speed: f64) -> Self {
        Self {
            slots,
            speed,
            running: Cell::new(0),
            faults: Cell::default(),
            fault_changes: Cell::new(0),
            silent: Cell::new(false),
            log: RefCell::default(),
            notify: Notify::default(),
            created_at: Instant::now(),
        }
    }

    pub(super) fn faults(&self) -> TargetFaults {
        self.faults.get()
    }

    pub(super) fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
        self.fault_changes.set(self.fault_changes.get() + 1);
        self.notify.notify_all();
    }

    pub(super) fn starts(&self) -> Starts {
        self.log.borrow().starts().clone()
    }

    pub(super) fn silence(&self) {
        self.silent.set(true);
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent.get()
    }

    pub(super) async fn wait_for_starts(&self, count: usize) {
        let reached = || (self.log.borrow().starts().starts.len() >= count).then_some(());
        self.notify.wait_until(reached).await;
    }

    pub(super) async fn run(&self, request: &Request) -> Response {
        let id = match parse_task_id(request) {
            Ok(id) => id,
            Err(error) => return Response::error(400, &error.to_string()),
        };
        let mut faults = self.faults.get();
        let mode = faults.take();
        self.faults.set(faults);
        if mode == TargetFaultMode::Refuse {
            return not_started_response("refused");
        }
        let Some(_slot) = self.occupy() else {
            return not_started_response("no free slot");
        };
        self.record(&id);
        self.execute(request, mode, faults.slow_factor).await
    }

    fn occupy(&self) -> Option<Slot<'_>> {
        let running = self.running.get();
        if running >= self.slots {
            return None;
        }
        self.running.set(running + 1);
        Some(Slot(&self.running))
    }

    fn record(&self, id: &TaskId) {
        let started_ms = self.created_at.elapsed().as_millis() as u64;
        self.log.borrow_mut().record(id, started_ms);
        self.notify.notify_all();
    }

    async fn execute(&self, request: &Request, mode: TargetFaultMode, factor: f64) -> Response {
        let payload: Payload = request.parse().unwrap_or_default();
        match mode {
            TargetFaultMode::FailFast => return Response::error(500, "the target is broken"),
            TargetFaultMode::Hang => {
                self.wait_for_fault_change().await;
                return Response::disconnect();
            }
            TargetFaultMode::Cut => {
                self.sleep(&payload, 0.5).await;
                return Response::disconnect();
            }
            TargetFaultMode::Slow => self.sleep(&payload, factor).await,
            TargetFaultMode::None | TargetFaultMode::Refuse => self.sleep(&payload, 1.0).await,
        }
        if payload.fail {
            return Response::error(500, "the payload asks for a failure");
        }
        let mut response = Response::empty(200);
        response.body = request.body.clone();
        response
    }

    async fn sleep(&self, payload: &Payload, factor: f64) {
        let run_ms = payload.run_ms as f64 * factor / self.speed;
        if run_ms > 0.0 {
            sleep(Duration::from_micros((run_ms * 1_000.0) as u64)).await;
        }
    }

    async fn wait_for_fault_change(&self) {
        let before = self.fault_changes.get();
        let changed = || (self.fault_changes.get() != before).then_some(());
        self.notify.wait_until(changed).await;
    }
}
