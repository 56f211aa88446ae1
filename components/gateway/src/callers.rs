//! HTTP requests of callers.

use std::rc::Rc;
use std::time::Duration;

use adapter::{CallerRequest, SubmittedJob};
use futures::channel::oneshot;
use model::JobId;
use monoio::net::TcpListener;
use runtime::uptime_ms;
use scheduling::{AdmissionInputs, JobRequest, JobSlot, Route, SubmitOutcome, Verdict};
use web::{HeaderValue, Request, Response, StopSignal};

use crate::caller_connections::{EntryState, is_closed_after};
use crate::configuration::ActiveConfiguration;
use crate::process::{JobAnswer, Shared};

const HOST_HEADER: &str = "host";
/// Status of the answer to a request that has not run and will not.
const NOT_RUN_STATUS: u16 = 503;

const CONNECTION_HEADER: &str = "connection";

/// Retry delay given to callers of an entry that cannot serve yet, in milliseconds; the balancer
/// has taken the entry out of rotation by then.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Serves callers until `stop` is set, and then until the in-flight requests are answered.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener, stop: StopSignal) {
    let limits = shared.limits.clone();
    let counters = Rc::clone(&shared.web);
    web::serve(listener, limits, counters, stop, move |request, _| {
        handle(Rc::clone(&shared), request)
    })
    .await;
}

async fn handle(shared: Rc<Shared>, request: Request) -> Response {
    let mut response = answer(&shared, &request).await;
    let state = EntryState {
        is_draining: shared.is_draining.get(),
        is_ready: shared.is_ready(),
    };
    if is_closed_after(state, response.status == NOT_RUN_STATUS) {
        let close = HeaderValue::from_static("close");
        response.headers.insert(CONNECTION_HEADER, close);
    }
    response
}

async fn answer(shared: &Rc<Shared>, request: &Request) -> Response {
    let arrived_ms = shared.advance_clock();
    let Some(active_configuration) = configuration_in_force(shared, request).await else {
        return refuse(shared, request, "no_configuration", NOT_READY_RETRY_MS);
    };
    let host = request.header(HOST_HEADER).unwrap_or_default();
    let Some((route, rest)) = active_configuration.routes.find(host, &request.path) else {
        log_request_refusal(request, "unknown_queue", active_configuration.version);
        return adapter::unknown_queue();
    };
    match adapter::caller_request(&request.method, rest) {
        CallerRequest::Submit(id) => {
            let version = active_configuration.version;
            submit(shared, request, arrived_ms, route, id, version).await
        }
        CallerRequest::QueueLength => {
            let waiting = shared
                .scheduler
                .borrow()
                .waiting_job_count(&route.queue.name);
            adapter::queue_length(waiting)
        }
        CallerRequest::State(id) => {
            let scheduler = shared.scheduler.borrow();
            let state = scheduler.job_state(&route.queue.name, id);
            state.map_or_else(adapter::unknown_job, |state| {
                adapter::job_state(state.into())
            })
        }
        CallerRequest::Cancel(id) => cancel(shared, route, id),
        CallerRequest::Unknown => Response::error(400, "no such call"),
    }
}

/// Cancels a job that this entry has in progress. Other entries are not asked.
fn cancel(shared: &Rc<Shared>, route: &Route, id: JobId) -> Response {
    let queue = Rc::clone(&route.queue.name);
    let is_cancelled = shared.update_scheduler(|scheduler, now_ms, actions| {
        scheduler.cancel(now_ms, &queue, id, actions)
    });
    if !is_cancelled {
        return adapter::unknown_job();
    }
    log::info!(target: "gateway", event = "cancelled", id = id.as_str();
        "job cancelled at a caller's request");
    adapter::job_state("cancelled")
}

/// Returns the configuration in force. An entry that has just started waits for it: until then it
/// cannot tell whether the request can be served.
async fn configuration_in_force(
    shared: &Shared,
    request: &Request,
) -> Option<Rc<ActiveConfiguration>> {
    let current = || shared.active_configuration.borrow().clone();
    let starting_ms = shared.starting_until_ms.saturating_sub(uptime_ms());
    let (_, time_left_ms) = adapter::request_id_and_timeout(request);
    let patience_ms = time_left_ms.map_or(starting_ms, |left_ms| left_ms.min(starting_ms));
    if patience_ms == 0 {
        return current();
    }
    let configured = shared.configuration_changed.wait_until(current);
    let patience = Duration::from_millis(patience_ms);
    monoio::time::timeout(patience, configured).await.ok()
}

async fn submit(
    shared: &Rc<Shared>,
    request: &Request,
    arrived_ms: u64,
    route: &Route,
    id: JobId,
    version: u64,
) -> Response {
    let submitted_job = match adapter::decode_submission(&request.body) {
        Ok(submitted_job) => submitted_job,
        Err(error) => {
            log::info!(target: "gateway", event = "refused", id = id.as_str(),
                reason = "malformed", detail = error.to_string();
                "request refused: its body is not a valid job");
            return Response::error(400, &format!("malformed job: {error}"));
        }
    };
    if let Some(reason) = submitted_job.unsupported {
        log::info!(target: "gateway", event = "refused", id = id.as_str(),
            reason = "kind_not_served", kind = reason.name();
            "job refused: jobs of this kind are not supported");
        return adapter::not_run("jobs of this kind are not served", None);
    }
    let now_ms = shared.advance_clock();
    if shared.is_from_before_suspension(arrived_ms) {
        return refuse(shared, request, "resuming", NOT_READY_RETRY_MS);
    }
    let (request_id, time_left_ms) = adapter::request_id_and_timeout(request);
    let context = RequestContext {
        request_id,
        id,
        route,
        version,
    };
    let mut job = job_request(id, submitted_job, route, time_left_ms);
    job.time_left_ms = job.time_left_ms.saturating_sub(now_ms - arrived_ms);
    let mut actions = Vec::new();
    let submission = shared
        .scheduler
        .borrow_mut()
        .submit(now_ms, job, &mut actions);
    let slot = match submission {
        SubmitOutcome::Admitted(slot, inputs) => {
            log_admission(&context, &inputs);
            slot
        }
        SubmitOutcome::Joined(slot) => {
            log::info!(target: "gateway", event = "joined", id = id.as_str();
                "duplicate request waits for the answer to the first one");
            slot
        }
        SubmitOutcome::AlreadyAnswered(verdict) => {
            log::info!(target: "gateway", event = "repeated", id = id.as_str(),
                outcome = verdict.name();
                "duplicate request gets the stored answer to the first one");
            return response_to(verdict);
        }
        SubmitOutcome::Refused(verdict, inputs) => {
            log_job_refusal(&context, &inputs, verdict);
            shared
                .metrics
                .record_answer(verdict.name(), reason_of(verdict), 0);
            return response_to(verdict);
        }
    };
    let waiting_caller = WaitingCaller::register(shared, slot, id);
    shared.perform(actions);
    let answer = waiting_caller.answer().await;
    let took_ms = shared.advance_clock().saturating_sub(now_ms);
    log_answer(&context, answer, took_ms);
    let verdict = answer.verdict;
    let reason = reason_of(verdict);
    shared
        .metrics
        .record_answer(verdict.name(), reason, took_ms);
    response_to(verdict)
}

fn job_request(
    id: JobId,
    submitted_job: SubmittedJob,
    route: &Route,
    time_left_ms: Option<u64>,
) -> JobRequest {
    JobRequest {
        id,
        queue: Rc::clone(&route.queue),
        specification: submitted_job.specification,
        steps: submitted_job.steps,
        time_left_ms: time_left_ms.unwrap_or(route.queue.timeout_ms),
    }
}

/// Fields of a submission that its log lines contain.
struct RequestContext<'a> {
    request_id: &'a str,
    id: JobId,
    route: &'a Route,
    /// Version of the configuration in force.
    version: u64,
}

/// A caller that waits for the answer to a job.
///
/// The web server drops the handler when the caller closes its connection; dropping this value
/// before the answer then withdraws the caller from the job.
struct WaitingCaller {
    shared: Rc<Shared>,
    slot: JobSlot,
    id: JobId,
    receiver: Option<oneshot::Receiver<JobAnswer>>,
}

impl WaitingCaller {
    fn register(shared: &Rc<Shared>, slot: JobSlot, id: JobId) -> Self {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = shared.waiters.borrow_mut();
        waiters.entry(slot).or_default().push(sender);
        Self {
            shared: Rc::clone(shared),
            slot,
            id,
            receiver: Some(receiver),
        }
    }

    async fn answer(mut self) -> JobAnswer {
        let lost = JobAnswer {
            verdict: Verdict::Lost,
            is_late: true,
        };
        let answer = match self.receiver.as_mut() {
            Some(receiver) => receiver.await,
            None => Ok(lost),
        };
        self.receiver = None;
        // The sender is dropped without an answer only when the process ends.
        answer.unwrap_or(lost)
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if self.receiver.take().is_none() {
            return;
        }
        let mut actions = Vec::new();
        self.shared
            .scheduler
            .borrow_mut()
            .caller_disconnected(self.slot, &mut actions);
        let mut waiters = self.shared.waiters.borrow_mut();
        if let Some(senders) = waiters.get_mut(&self.slot) {
            senders.retain(|sender| !sender.is_canceled());
            if senders.is_empty() {
                waiters.remove(&self.slot);
            }
        }
        drop(waiters);
        log::info!(target: "gateway", event = "abandoned", id = self.id.as_str();
            "caller disconnected before the answer; its job ends unless other callers wait for it");
        self.shared.metrics.record_answer("abandoned", "", 0);
        self.shared.perform(actions);
    }
}

fn response_to(verdict: Verdict) -> Response {
    match verdict {
        Verdict::Completed => adapter::completed(),
        Verdict::Failed => adapter::failed(),
        Verdict::Cancelled => adapter::job_state("cancelled"),
        Verdict::NotRun {
            reason,
            retry_after_ms,
        } => adapter::not_run(reason.into(), Some(retry_after_ms)),
        Verdict::Lost => adapter::lost(false, "hosts were lost while the job ran"),
        Verdict::Expired => adapter::lost(true, "the time for the job is over"),
    }
}

fn reason_of(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun { reason, .. } => reason.into(),
        _ => "",
    }
}

fn refuse(shared: &Shared, request: &Request, reason: &str, retry_after_ms: u64) -> Response {
    shared.metrics.record_answer("not_run", reason, 0);
    log_request_refusal(request, reason, 0);
    adapter::not_run(reason, Some(retry_after_ms))
}

fn log_request_refusal(request: &Request, reason: &str, version: u64) {
    let (request_id, _) = adapter::request_id_and_timeout(request);
    log::info!(target: "gateway", event = "refused", request = request_id,
        path = request.path.as_str(), reason = reason, configuration_version = version;
        "request refused");
}

fn log_admission(context: &RequestContext<'_>, inputs: &AdmissionInputs) {
    log::debug!(target: "gateway", event = "admitted", id = context.id.as_str(),
        request = context.request_id, queue = &*context.route.queue.name,
        hosts = inputs.usable_hosts,
        oldest_view_ms = inputs.oldest_view_ms,
        expected_ms = inputs.finish_ms.unwrap_or(-1.0), objective_ms = inputs.objective_ms,
        chance_in_time = inputs.chance_in_time,
        time_left_ms = inputs.time_left_ms,
        configuration_version = context.version; "job admitted");
}

fn log_answer(context: &RequestContext<'_>, answer: JobAnswer, took_ms: u64) {
    let verdict = answer.verdict;
    let is_usual = verdict == Verdict::Completed && !answer.is_late;
    let level = if is_usual {
        log::Level::Debug
    } else {
        log::Level::Info
    };
    let retry_after_ms = match verdict {
        Verdict::NotRun { retry_after_ms, .. } => Some(retry_after_ms),
        _ => None,
    };
    log::log!(target: "gateway", level, event = "answered", id = context.id.as_str(),
        request = context.request_id, outcome = verdict.name(),
        reason = reason_of(verdict), retry_after_ms = retry_after_ms,
        is_late = answer.is_late, took_ms = took_ms; "job answered");
}

fn log_job_refusal(context: &RequestContext<'_>, inputs: &AdmissionInputs, verdict: Verdict) {
    log::info!(target: "gateway", event = "refused", id = context.id.as_str(),
        request = context.request_id, queue = &*context.route.queue.name,
        reason = reason_of(verdict), hosts = inputs.usable_hosts,
        oldest_view_ms = inputs.oldest_view_ms,
        expected_ms = inputs.finish_ms.unwrap_or(-1.0), objective_ms = inputs.objective_ms,
        chance_in_time = inputs.chance_in_time,
        time_left_ms = inputs.time_left_ms,
        configuration_version = context.version; "job refused on arrival");
}
