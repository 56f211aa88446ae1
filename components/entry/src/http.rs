//! The HTTP server for callers and operators.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use callers::{
    Access, Route, SubmissionLimits, answer_response, bearer_token, cancelling_response,
    not_found_response, owner_unreachable_response, parse_route, parse_submission,
    pending_response, route_error_response, submission_error_response, unauthorized_response,
};
use model::{FirmKey, JobKey};
use monoio::net::TcpListener;
use protocol::{CancelReply, StatusReply};
use runtime::{monotonic_us, unix_ms};
use web::{Delivery, Request, Response, ServerLimits, StopSignal};

use crate::process::Shared;

/// Sender of a request, as identified by its bearer token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Anonymous,
    Firm(FirmKey),
    Operator,
}

/// Counts a submission as in flight until dropped; a planned stop waits for it.
struct SubmissionGuard(Rc<Shared>);

impl SubmissionGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared
            .in_flight_submissions
            .set(shared.in_flight_submissions.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for SubmissionGuard {
    fn drop(&mut self) {
        self.0
            .in_flight_submissions
            .set(self.0.in_flight_submissions.get() - 1);
    }
}

/// Serves HTTP requests until `stop` is triggered.
pub async fn serve(
    shared: Rc<Shared>,
    listener: TcpListener,
    limits: ServerLimits,
    stop: StopSignal,
) {
    let counters = Rc::clone(&shared.web_counters);
    let handler = move |request: Request, _| {
        let shared = Rc::clone(&shared);
        async move { shared.respond(request).await }
    };
    web::serve(listener, limits, counters, stop, handler).await;
}

impl Shared {
    async fn respond(self: &Rc<Self>, request: Request) -> Response {
        let route = match parse_route(&request.method, &request.path) {
            Ok(route) => route,
            Err(error) => return into_web_response(route_error_response(error)),
        };
        let caller = self.caller(&request);
        let is_allowed = match route.access() {
            Access::Public => true,
            Access::Firm => matches!(caller, Caller::Firm(_)),
            Access::Operator => caller == Caller::Operator,
        };
        if !is_allowed {
            return into_web_response(unauthorized_response());
        }
        match caller {
            Caller::Firm(firm) => self.respond_to_firm(firm, route, &request).await,
            Caller::Anonymous | Caller::Operator => self.respond_to_operator(&route),
        }
    }

    fn caller(&self, request: &Request) -> Caller {
        let authorization = request.headers.get(http::header::AUTHORIZATION);
        let token = authorization.and_then(|value| bearer_token(value.as_bytes()));
        let Some(token) = token else {
            return Caller::Anonymous;
        };
        let config = self.config.borrow();
        let Some(published) = config.published() else {
            return Caller::Anonymous;
        };
        match published.merged.authenticate(token) {
            Some(principal) => principal
                .tenant_key()
                .map_or(Caller::Operator, Caller::Firm),
            None => Caller::Anonymous,
        }
    }

    async fn respond_to_firm(
        self: &Rc<Self>,
        firm: FirmKey,
        route: Route,
        request: &Request,
    ) -> Response {
        match route {
            Route::SubmitJob { id } => self.submit_job(firm, &id, &request.body).await,
            Route::ShowJob { id } => self.show_job(JobKey::new(firm, &id)).await,
            Route::CancelJob { id } => self.cancel_job(JobKey::new(firm, &id)).await,
            Route::ListJobs => Response::json(200, &self.firm_jobs(firm)),
            Route::ShowState => Response::json(200, &self.state(Some(firm))),
            route => self.respond_to_operator(&route),
        }
    }

    fn respond_to_operator(self: &Rc<Self>, route: &Route) -> Response {
        match route {
            Route::Health => Response::text(200, "ok\n"),
            Route::Ready => self.readiness(),
            Route::Metrics => self.render_metrics(),
            Route::AdminState => Response::json(200, &self.state(None)),
            Route::AdminFirmJobs { firm } => {
                Response::json(200, &self.firm_jobs(FirmKey::from_name(firm)))
            }
            Route::AdminConfig => self.show_config(),
            Route::AdminDrain => {
                self.operator_drain.stop();
                Response::json(202, &serde_json::json!({ "state": "draining" }))
            }
            _ => into_web_response(unauthorized_response()),
        }
    }

    async fn submit_job(self: &Rc<Self>, firm: FirmKey, id: &str, body: &[u8]) -> Response {
        let _guard = SubmissionGuard::new(self);
        let limits = self.submission_limits(firm);
        let spec = match parse_submission(firm, id, body, &limits) {
            Ok(spec) => spec,
            Err(error) => return into_web_response(submission_error_response(&error)),
        };
        let started_us = monotonic_us();
        let answer = self.submit(spec).await;
        self.metrics
            .record_answer(firm, &answer, monotonic_us() - started_us);
        into_web_response(answer_response(&answer))
    }

    fn submission_limits(&self, firm: FirmKey) -> SubmissionLimits {
        let config = self.config.borrow();
        let mut limits = SubmissionLimits {
            max_body_bytes: self.settings.limits.max_body_bytes as usize,
            max_task_count: self.settings.limits.max_tasks_per_job,
            max_deadline_ms: self.max_deadline_ms(firm),
            ..SubmissionLimits::default()
        };
        if let Some(published) = config.published() {
            let merged = &published.merged;
            limits.max_payload_bytes = merged.limits.max_payload_bytes as usize;
            limits.max_task_count = limits.max_task_count.min(merged.limits.max_tasks_per_job);
            if let Some(tenant) = merged.tenant(firm) {
                limits.max_task_count = limits.max_task_count.min(tenant.firm.max_tasks_per_job);
                limits.default_deadline_ms = tenant.firm.default_deadline_ms;
            }
        }
        limits
    }

    fn max_deadline_ms(&self, firm: FirmKey) -> u64 {
        let config = self.config.borrow();
        let Some(published) = config.published() else {
            return 0;
        };
        let merged = &published.merged;
        let tenant = merged.tenant(firm);
        let firm_max_ms = tenant.map(|tenant| tenant.firm.max_deadline_ms);
        firm_max_ms
            .unwrap_or(merged.limits.max_deadline_ms)
            .min(merged.limits.max_deadline_ms)
    }

    async fn show_job(self: &Rc<Self>, key: JobKey) -> Response {
        match self.query_status(key).await {
            Some(StatusReply::Answered(answer)) => into_web_response(answer_response(&answer)),
            Some(StatusReply::Pending(progress)) => into_web_response(pending_response(
                progress.task_count,
                progress.finished_count,
            )),
            Some(StatusReply::NotFound) => into_web_response(not_found_response()),
            Some(StatusReply::NotOwner { .. }) | None => {
                into_web_response(owner_unreachable_response())
            }
        }
    }

    async fn cancel_job(self: &Rc<Self>, key: JobKey) -> Response {
        match self.request_cancel(key).await {
            Some(CancelReply::Answered(answer)) => into_web_response(answer_response(&answer)),
            Some(CancelReply::Cancelling) => into_web_response(cancelling_response()),
            Some(CancelReply::NotFound) => into_web_response(not_found_response()),
            Some(CancelReply::NotOwner { .. }) | None => {
                into_web_response(owner_unreachable_response())
            }
        }
    }

    fn firm_jobs(&self, firm: FirmKey) -> serde_json::Value {
        let state = self.dispatcher.borrow().state(monotonic_us(), Some(firm));
        let jobs: Vec<_> = state
            .shards
            .into_iter()
            .flat_map(|shard| shard.jobs)
            .collect();
        serde_json::json!({ "jobs": jobs })
    }

    fn readiness(&self) -> Response {
        if self.is_draining.get() {
            return Response::error(503, "draining");
        }
        if self.config.borrow().revision() == 0 {
            return Response::error(503, "no configuration");
        }
        Response::text(200, "ready\n")
    }

    fn render_metrics(&self) -> Response {
        match self.metrics.render(self) {
            Ok(text) => Response::text(200, text),
            Err(error) => Response::error(500, &error.to_string()),
        }
    }

    fn show_config(&self) -> Response {
        let config = self.config.borrow();
        let values = config
            .published()
            .map(|published| published.merged.values());
        Response::json(
            200,
            &serde_json::json!({
                "revision": config.revision(),
                "age_ms": config.age_ms(unix_ms()),
                "values": values,
            }),
        )
    }

    /// Returns the state of the process, or only the part of `firm` if given.
    pub fn state(&self, firm: Option<FirmKey>) -> serde_json::Value {
        let decisions = self.dispatcher.borrow().state(monotonic_us(), firm);
        let config = self.config.borrow();
        if firm.is_some() {
            return serde_json::json!({
                "config_revision": config.revision(),
                "decisions": decisions,
            });
        }
        let links: BTreeMap<_, _> = self.link_counters.iter().collect();
        let traffic: BTreeMap<_, _> = self.connector.traffic().iter().collect();
        serde_json::json!({
            "entry": self.own_info.key.to_string(),
            "address": self.own_info.address,
            "failure_domain": self.own_info.failure_domain,
            "region": self.settings.region,
            "draining": self.is_draining.get(),
            "requests": self.in_flight_submissions.get(),
            "config_revision": config.revision(),
            "config_age_ms": config.age_ms(unix_ms()),
            "platform_reachable": self.platform_is_reachable(),
            "platform_calls": self.platform.counters().calls(),
            "links": links,
            "traffic": traffic,
            "connections_by_version": self.connector.versions().open_connections(),
            "decisions": decisions,
        })
    }
}

fn into_web_response(response: http::Response<Bytes>) -> Response {
    let (parts, body) = response.into_parts();
    Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        delivery: Delivery::Body,
    }
}
