//! State behind the API and the effect of each call on it.

use std::time::Instant;

use platform::wire::{
    CODE_INVALID_ARGUMENT, CODE_NOT_FOUND, ErrorResponse, LeaseRequest, LeaseResponse,
    RangeRequest, Streamed, TxnRequest, WatchRequest,
};
use web::Response;

use super::PlatformStandinBuilder;
use super::faults::FaultState;
use super::limiter::{Admission, Limiter};
use super::stats::PlatformStats;
use super::store::{Change, Store, StoreError};
use super::watchers::{Watchers, compacted};

/// Calls of the API.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Call {
    pub(super) fn from_path(path: &str) -> Option<Self> {
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

    pub(super) fn writes(self) -> bool {
        !matches!(self, Self::Range | Self::Watch)
    }
}

pub(super) struct State {
    pub(super) store: Store,
    pub(super) watchers: Watchers,
    pub(super) faults: FaultState,
    pub(super) stats: PlatformStats,
    pub(super) reads: Limiter,
    pub(super) writes: Limiter,
}

impl State {
    pub(super) fn new(settings: &PlatformStandinBuilder) -> Self {
        Self {
            store: Store::new(settings.max_history),
            watchers: Watchers::default(),
            faults: FaultState::new(settings.seed),
            stats: PlatformStats::default(),
            reads: Limiter::new(settings.reads_per_s, settings.overload),
            writes: Limiter::new(settings.writes_per_s, settings.overload),
        }
    }

    pub(super) fn admit(&mut self, call: Call) -> Admission {
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

    pub(super) fn notify(&mut self, change: Option<Change>) {
        if let Some(change) = change {
            self.watchers.notify(&change);
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Response {
        Response::json(200, &self.store.range(request))
    }

    pub(super) fn txn(&mut self, request: &TxnRequest) -> Response {
        match self.store.txn(request) {
            Ok((response, change)) => {
                self.notify(change);
                Response::json(200, &response)
            }
            Err(error) => store_error(error),
        }
    }

    pub(super) fn grant(&mut self, request: &LeaseRequest, now_ms: u64) -> Response {
        match self.store.grant(request.id, request.ttl_s, now_ms) {
            Some(id) => self.lease_response(id, request.ttl_s),
            None => error_response(400, CODE_INVALID_ARGUMENT, "lease already exists"),
        }
    }

    /// Answers like a stream of one message; an unknown lease has no time left.
    pub(super) fn keep_alive(&mut self, request: &LeaseRequest, now_ms: u64) -> Response {
        let ttl_s = self.store.keep_alive(request.id, now_ms).unwrap_or(0);
        let result = LeaseResponse {
            header: self.store.header(),
            id: request.id,
            ttl_s,
        };
        Response::json(200, &Streamed { result })
    }

    pub(super) fn revoke(&mut self, request: &LeaseRequest) -> Response {
        match self.store.revoke(request.id) {
            Ok(change) => {
                self.notify(change);
                self.lease_response(request.id, 0)
            }
            Err(error) => store_error(error),
        }
    }

    pub(super) fn watch(&mut self, request: WatchRequest) -> Response {
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

pub(super) fn error_response(status: u16, code: i32, message: &str) -> Response {
    let message = message.to_owned();
    Response::json(status, &ErrorResponse { code, message })
}
