//! State of the stand-in and the effect of each API call on it.

use std::time::Instant;

use platform::wire::{
    CODE_INVALID_ARGUMENT, CODE_NOT_FOUND, ErrorResponse, LeaseRequest, LeaseResponse,
    RangeRequest, StreamMessage, TxnRequest, WatchRequest,
};
use web::Response;

use super::PlatformStandinBuilder;
use super::faults::FaultInjector;
use super::limiter::{Admission, RateLimiter};
use super::stats::PlatformStats;
use super::store::{Change, Store, StoreError};
use super::watchers::{Watchers, compacted_stream};

/// Call of the etcd v3 API.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiCall {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl ApiCall {
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

    pub(super) fn is_write(self) -> bool {
        !matches!(self, Self::Range | Self::Watch)
    }
}

pub(super) struct State {
    pub(super) store: Store,
    pub(super) watchers: Watchers,
    pub(super) fault_injector: FaultInjector,
    pub(super) stats: PlatformStats,
    pub(super) read_limiter: RateLimiter,
    pub(super) write_limiter: RateLimiter,
}

impl State {
    pub(super) fn new(settings: &PlatformStandinBuilder) -> Self {
        Self {
            store: Store::new(settings.max_history),
            watchers: Watchers::default(),
            fault_injector: FaultInjector::new(settings.seed),
            stats: PlatformStats::default(),
            read_limiter: RateLimiter::new(settings.reads_per_s, settings.overload),
            write_limiter: RateLimiter::new(settings.writes_per_s, settings.overload),
        }
    }

    pub(super) fn admit(&mut self, call: ApiCall) -> Admission {
        let stats = &mut self.stats;
        let counter = match call {
            ApiCall::Range => &mut stats.reads,
            ApiCall::Txn => &mut stats.writes,
            ApiCall::Grant | ApiCall::Revoke => &mut stats.lease_changes,
            ApiCall::KeepAlive => &mut stats.keep_alives,
            ApiCall::Watch => &mut stats.watches_opened,
        };
        *counter += 1;
        let limiter = if call.is_write() {
            &mut self.write_limiter
        } else {
            &mut self.read_limiter
        };
        let admission = limiter.admit(Instant::now());
        if admission == Admission::Rejected {
            self.stats.rejected += 1;
        }
        admission
    }

    pub(super) fn notify_watchers(&mut self, change: Option<Change>) {
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
                self.notify_watchers(change);
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

    /// Renews a lease and responds with a stream of one message; an unknown lease has a TTL of
    /// zero.
    pub(super) fn keep_alive(&mut self, request: &LeaseRequest, now_ms: u64) -> Response {
        let ttl_s = self.store.keep_alive(request.id, now_ms).unwrap_or(0);
        let result = LeaseResponse {
            header: self.store.header(),
            id: request.id,
            ttl_s,
        };
        Response::json(200, &StreamMessage { result })
    }

    pub(super) fn revoke(&mut self, request: &LeaseRequest) -> Response {
        match self.store.revoke(request.id) {
            Ok(change) => {
                self.notify_watchers(change);
                self.lease_response(request.id, 0)
            }
            Err(error) => store_error(error),
        }
    }

    pub(super) fn watch(&mut self, request: WatchRequest) -> Response {
        let create = request.create_request;
        let header = self.store.header();
        let from_revision = match create.start_revision {
            0 => header.revision + 1,
            revision => revision,
        };
        let lines = match self.store.changes_since(from_revision) {
            Ok(past_changes) => self.watchers.add(create, header, &past_changes),
            Err(oldest_revision) => compacted_stream(header, oldest_revision),
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
