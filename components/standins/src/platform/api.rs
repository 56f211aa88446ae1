//! Handles the calls of the API, with rate limits and injected faults.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use platform::wire::{CODE_INVALID_ARGUMENT, CODE_RESOURCE_EXHAUSTED, CODE_UNAVAILABLE};
use serde::de::DeserializeOwned;
use web::{Method, Request, Response};

use super::PlatformStandinBuilder;
use super::faults::PlatformFaults;
use super::limiter::Admission;
use super::state::{ApiCall, State, error_response};
use super::stats::PlatformStats;

pub(super) struct Api {
    state: RefCell<State>,
    started_at: Instant,
}

impl Api {
    pub(super) fn new(settings: &PlatformStandinBuilder) -> Self {
        Self {
            state: RefCell::new(State::new(settings)),
            started_at: Instant::now(),
        }
    }

    pub(super) fn faults(&self) -> PlatformFaults {
        self.state.borrow().fault_injector.faults
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let state = &mut *self.state.borrow_mut();
        state.fault_injector.faults = faults;
        if faults.is_unreachable() {
            state.watchers.clear();
        }
    }

    pub(super) fn stats(&self) -> PlatformStats {
        let state = &mut *self.state.borrow_mut();
        PlatformStats {
            watches_open: state.watchers.count(),
            revision: state.store.header().revision,
            ..state.stats
        }
    }

    /// Revokes expired leases, unless an outage is injected.
    pub(super) fn expire_leases(&self) {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        if state.fault_injector.faults.is_unreachable() {
            return;
        }
        for lease in state.store.expired_leases(now_ms) {
            state.stats.expired_leases += 1;
            if let Ok(change) = state.store.revoke(lease) {
                state.notify_watchers(change);
            }
        }
    }

    pub(super) async fn handle(&self, request: Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/standin/stats") => Response::json(200, &self.stats()),
            (&Method::GET, "/standin/faults") => Response::json(200, &self.faults()),
            (&Method::POST, "/standin/faults") => self.post_faults(&request),
            (&Method::POST, "/standin/lapse-leases") => {
                self.state.borrow_mut().store.expire_all_leases();
                Response::empty(204)
            }
            (&Method::POST, path) => match ApiCall::from_path(path) {
                Some(call) => self.handle_call(call, &request).await,
                None => Response::error(404, "no such path"),
            },
            _ => Response::error(404, "no such path"),
        }
    }

    fn post_faults(&self, request: &Request) -> Response {
        match request.parse() {
            Ok(faults) => {
                self.set_faults(faults);
                Response::json(200, &faults)
            }
            Err(error) => Response::error(400, &error.to_string()),
        }
    }

    async fn handle_call(&self, call: ApiCall, request: &Request) -> Response {
        if let Some(response) = self.outage_response() {
            return response;
        }
        let admission = self.state.borrow_mut().admit(call);
        match admission {
            Admission::Admitted => {}
            Admission::Delayed(wait) => sleep(wait).await,
            Admission::Rejected => {
                return error_response(429, CODE_RESOURCE_EXHAUSTED, "too many requests");
            }
        }
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        // Checked again because an outage may have begun during the delay.
        if let Some(response) = self.outage_response() {
            return response;
        }
        self.execute(call, request)
    }

    fn outage_response(&self) -> Option<Response> {
        let faults = self.faults();
        if faults.is_unreachable() {
            self.state.borrow_mut().stats.unavailable += 1;
        }
        if faults.cut {
            return Some(Response::disconnect());
        }
        let unavailable = || error_response(503, CODE_UNAVAILABLE, "the store is down");
        faults.down.then(unavailable)
    }

    fn execute(&self, call: ApiCall, request: &Request) -> Response {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        let response = match call {
            ApiCall::Range => with_parsed_body(request, |body| state.range(&body)),
            ApiCall::Txn => with_parsed_body(request, |body| state.txn(&body)),
            ApiCall::Grant => with_parsed_body(request, |body| state.grant(&body, now_ms)),
            ApiCall::KeepAlive => with_parsed_body(request, |body| state.keep_alive(&body, now_ms)),
            ApiCall::Revoke => with_parsed_body(request, |body| state.revoke(&body)),
            ApiCall::Watch => with_parsed_body(request, |body| state.watch(body)),
        };
        if call.is_write() && response.status == 200 && state.fault_injector.decide_response_loss()
        {
            state.stats.lost_answers += 1;
            return Response::disconnect();
        }
        response
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

fn with_parsed_body<T: DeserializeOwned>(
    request: &Request,
    run: impl FnOnce(T) -> Response,
) -> Response {
    match request.parse() {
        Ok(body) => run(body),
        Err(error) => error_response(400, CODE_INVALID_ARGUMENT, &error.to_string()),
    }
}
