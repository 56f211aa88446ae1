//! Calls of the API, with rates and faults applied.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use platform::wire::{
    CODE_NOT_FOUND, CODE_RESOURCE_EXHAUSTED, CODE_UNAVAILABLE, ErrorResponse, LeaseRequest,
    LeaseResponse, RangeRequest, Streamed, TxnRequest, WatchRequest,
};
use serde::de::DeserializeOwned;
use web::{Method, Request, Response};

use super::PlatformStandinBuilder;
use super::faults::{FaultState, PlatformFaults};
use super::limiter::{Admission, Limiter};
use super::stats::PlatformStats;
use super::store::{Change, Store, StoreError};
use super::watchers::{Watchers, compacted};

const CODE_INVALID_ARGUMENT: i32 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Call {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v3/kv/range" => Some(Self::Range),
            "/v3/kv/txn" => Some(Self::Txn),
            "/v3/lease/grant" => Some(Self::Grant),
            "/v3/lease/keepalive" => Some(Self::KeepAlive),
            "/v3/lease/revoke" => Some(Self::Revoke),
            "/v3/watch" => Some(Self::Watch),
            _ => None,
        }
    }

    fn writes(self) -> bool {
        !matches!(self, Self::Range | Self::Watch)
    }
}

struct State {
    store: Store,
    watchers: Watchers,
    faults: FaultState,
    stats: PlatformStats,
    reads: Limiter,
    writes: Limiter,
}

pub(super) struct Api {
    state: RefCell<State>,
    started_at: Instant,
}

impl Api {
    pub(super) fn new(settings: &PlatformStandinBuilder) -> Self {
        let state = State {
            store: Store::new(),
            watchers: Watchers::default(),
            faults: FaultState::new(settings.seed),
            stats: PlatformStats::default(),
            reads: Limiter::new(settings.reads_per_s, settings.overload),
            writes: Limiter::new(settings.writes_per_s, settings.overload),
        };
        Self {
            state: RefCell::new(state),
            started_at: Instant::now(),
        }
    }

    pub(super) fn faults(&self) -> PlatformFaults {
        self.state.borrow().faults.faults
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let state = &mut *self.state.borrow_mut();
        state.faults.faults = faults;
        if faults.unreachable() {
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

    /// Ends the leases that have expired, unless the stand-in is unreachable.
    pub(super) fn expire_leases(&self) {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        if state.faults.faults.unreachable() {
            return;
        }
        for lease in state.store.expired(now_ms) {
            state.stats.expired_leases += 1;
            if let Ok(change) = state.store.revoke(lease) {
                state.notify(change);
            }
        }
    }

    pub(super) async fn handle(&self, request: Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/standin/stats") => Response::json(200, &self.stats()),
            (&Method::GET, "/standin/faults") => Response::json(200, &self.faults()),
            (&Method::POST, "/standin/faults") => self.post_faults(&request),
            (&Method::POST, path) => match Call::from_path(path) {
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

    async fn handle_call(&self, call: Call, request: &Request) -> Response {
        if let Some(response) = self.outage() {
            return response;
        }
        let admission = self.state.borrow_mut().admit(call);
        match admission {
            Admission::Now => {}
            Admission::After(wait) => sleep(wait).await,
            Admission::Rejected => {
                return error_response(429, CODE_RESOURCE_EXHAUSTED, "too many requests");
            }
        }
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        // An outage may have begun during the delay.
        if let Some(response) = self.outage() {
            return response;
        }
        self.execute(call, request)
    }

    fn outage(&self) -> Option<Response> {
        let faults = self.faults();
        if faults.unreachable() {
            self.state.borrow_mut().stats.unavailable += 1;
        }
        if faults.cut {
            return Some(Response::disconnect());
        }
        let unavailable = || error_response(503, CODE_UNAVAILABLE, "the store is down");
        faults.down.then(unavailable)
    }

    fn execute(&self, call: Call, request: &Request) -> Response {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        let response = match call {
            Call::Range => with_body(request, |body| state.range(&body)),
            Call::Txn => with_body(request, |body| state.txn(&body)),
            Call::Grant => with_body(request, |body| state.grant(&body, now_ms)),
            Call::KeepAlive => with_body(request, |body| state.keep_alive(&body, now_ms)),
            Call::Revoke => with_body(request, |body| state.revoke(&body)),
            Call::Watch => with_body(request, |body| state.watch(body)),
        };
        if call.writes() && response.status == 200 && state.faults.loses_answer() {
            state.stats.lost_answers += 1;
            return Response::disconnect();
        }
        response
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

impl State {
    fn admit(&mut self, call: Call) -> Admission {
        let stats = &mut self.stats;
        let counter = match call {
            Call::Range => &mut stats.reads,
            Call::Txn => &mut stats.writes,
            Call::Grant | Call::Revoke => &mut stats.lease_changes,
            Call::KeepAlive => &mut stats.keep_alives,
            Call::Watch => &mut stats.watches_opened,
        };
        *counter += 1;
        let limiter = if call.writes() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let admission = limiter.admit(Instant::now());
        if admission == Admission::Rejected {
            self.stats.rejected += 1;
        }
        admission
    }

    fn notify(&mut self, change: Option<Change>) {
        if let Some(change) = change {
            self.watchers.notify(&change);
        }
    }

    fn range(&self, request: &RangeRequest) -> Response {
        Response::json(200, &self.store.range(request))
    }

    fn txn(&mut self, request: &TxnRequest) -> Response {
        match self.store.txn(request) {
            Ok((response, change)) => {
                self.notify(change);
                Response::json(200, &response)
            }
            Err(error) => store_error(error),
        }
    }

    fn grant(&mut self, request: &LeaseRequest, now_ms: u64) -> Response {
        match self.store.grant(request.id, request.ttl_s, now_ms) {
            Some(id) => self.lease_response(id, request.ttl_s),
            None => error_response(400, CODE_INVALID_ARGUMENT, "lease already exists"),
        }
    }

    /// Answers like a stream of one message; an unknown lease has no time left.
    fn keep_alive(&mut self, request: &LeaseRequest, now_ms: u64) -> Response {
        let ttl_s = self.store.keep_alive(request.id, now_ms).unwrap_or(0);
        let result = LeaseResponse {
            header: self.store.header(),
            id: request.id,
            ttl_s,
        };
        Response::json(200, &Streamed { result })
    }

    fn revoke(&mut self, request: &LeaseRequest) -> Response {
        match self.store.revoke(request.id) {
            Ok(change) => {
                self.notify(change);
                self.lease_response(request.id, 0)
            }
            Err(error) => store_error(error),
        }
    }

    fn watch(&mut self, request: WatchRequest) -> Response {
        let create = request.create_request;
        let header = self.store.header();
        let from = match create.start_revision {
            0 => header.revision + 1,
            revision => revision,
        };
        let lines = match self.store.changes_since(from) {
            Ok(missed) => self.watchers.add(create, header, &missed),
            Err(oldest_revision) => compacted(header, oldest_revision),
        };
        Response::stream(lines)
    }

    fn lease_response(&self, id: u64, ttl_s: u64) -> Response {
        let response = LeaseResponse {
            header: self.store.header(),
            id,
            ttl_s,
        };
        Response::json(200, &response)
    }
}

fn with_body<T: DeserializeOwned>(request: &Request, run: impl FnOnce(T) -> Response) -> Response {
    match request.parse() {
        Ok(body) => run(body),
        Err(error) => error_response(400, CODE_INVALID_ARGUMENT, &error.to_string()),
    }
}

fn store_error(error: StoreError) -> Response {
    match error {
        StoreError::LeaseNotFound => {
            error_response(404, CODE_NOT_FOUND, "requested lease not found")
        }
        StoreError::ValueTooLarge => {
            error_response(400, CODE_INVALID_ARGUMENT, "request is too large")
        }
    }
}

fn error_response(status: u16, code: i32, message: &str) -> Response {
    let message = message.to_owned();
    Response::json(status, &ErrorResponse { code, message })
}
