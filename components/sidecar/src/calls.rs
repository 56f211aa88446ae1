//! Calls to the target on the same host.

use std::rc::Rc;
use std::time::Duration;

use hosting::{CALL_TIMEOUT_MS, HostAction, ORDER_TIMEOUT_MS, TargetPollOutcome};
use model::TaskRef;
use runtime::uptime_ms;
use web::Request;

use crate::process::Shared;

/// Pause between two polls of the target after one that failed at once, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Executes one action.
pub(crate) fn perform(shared: &Rc<Shared>, action: HostAction) {
    let shared = Rc::clone(shared);
    match action {
        HostAction::Start {
            task,
            number,
            specification,
            lease_end_ms,
            token,
        } => {
            let Some(instance) = instance(&shared) else {
                return;
            };
            let request = adapter::start_request(
                &instance,
                task,
                number,
                &specification,
                lease_end_ms,
                token,
            );
            monoio::spawn(start(shared, request, task, number));
        }
        HostAction::Stop {
            task,
            number,
            token,
        } => {
            let Some(instance) = instance(&shared) else {
                return;
            };
            let request = adapter::stop_request(&instance, task, number, token);
            monoio::spawn(stop(shared, request, task, number));
        }
    }
}

fn instance(shared: &Shared) -> Option<Rc<str>> {
    let host = shared.host.borrow();
    host.target().map(|target| Rc::clone(&target.instance))
}

async fn start(shared: Rc<Shared>, request: Request, task: TaskRef, number: u32) {
    let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
    let result = shared.target.call(&request, limit).await;
    let outcome = adapter::start_outcome(&result);
    shared.metrics.record_start(outcome);
    if outcome != hosting::StartOutcome::Started {
        log::info!(target: "sidecar", event = "start", id = task.job.as_str(), step = task.step,
            task = task.index, run = number, outcome = format!("{outcome:?}");
            "target refused the start of a run or did not answer it");
    }
    shared.update(|host, now_ms, actions| host.started(now_ms, task, number, outcome, actions));
}

async fn stop(shared: Rc<Shared>, request: Request, task: TaskRef, number: u32) {
    let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
    let result = shared.target.call(&request, limit).await;
    let is_answered = adapter::stop_is_answered(&result);
    shared.metrics.record_stop(is_answered);
    log::debug!(target: "sidecar", event = "stop", id = task.job.as_str(), step = task.step,
        task = task.index, run = number, is_answered = is_answered;
        "stop order for a run sent to the target");
    if is_answered {
        shared.update(|host, now_ms, _| host.stop_answered(now_ms, task, number));
    }
}

/// Polls the target for its runs, which also renews their lease; never returns.
///
/// The target holds each poll until a run ends or the wait is over (long polling).
pub(crate) async fn poll_target(shared: Rc<Shared>) {
    let mut is_reachable = true;
    loop {
        let sent_at_ms = uptime_ms();
        let outcome = poll_once(&shared).await;
        let is_answered = matches!(outcome, TargetPollOutcome::Answered(_));
        if is_answered != is_reachable {
            log_reachability(&outcome);
        }
        is_reachable = is_answered;
        shared.update(|host, now_ms, actions| {
            host.poll_answered(now_ms, sent_at_ms, outcome, actions);
        });
        if !is_answered && uptime_ms().saturating_sub(sent_at_ms) < RETRY_PAUSE_MS {
            monoio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}

/// Polls in addition to [`poll_target`] while the target leaves calls unanswered, so that one lost
/// answer doesn't delay the renewal of the lease; never returns.
pub(crate) async fn poll_in_parallel(shared: Rc<Shared>) {
    loop {
        monoio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        if !shared.host.borrow().needs_parallel_poll(uptime_ms()) {
            continue;
        }
        let sent_at_ms = uptime_ms();
        let outcome = poll_once(&shared).await;
        if matches!(outcome, TargetPollOutcome::Answered(_)) {
            shared.update(|host, now_ms, actions| {
                host.poll_answered(now_ms, sent_at_ms, outcome, actions);
            });
        }
    }
}

async fn poll_once(shared: &Rc<Shared>) -> TargetPollOutcome {
    let request = shared.update(|host, now_ms, actions| host.target_poll(now_ms, actions));
    let instance = instance(shared);
    let limit = Duration::from_millis(request.wait_ms + CALL_TIMEOUT_MS);
    let call = adapter::poll_request(instance.as_deref(), &request);
    let result = shared.target.call(&call, limit).await;
    let outcome = adapter::poll_outcome(&result);
    shared.metrics.record_poll(&outcome);
    outcome
}

fn log_reachability(outcome: &TargetPollOutcome) {
    let reason = match outcome {
        TargetPollOutcome::Answered(_) => {
            log::info!(target: "sidecar", event = "target_regained"; "target answers polls again");
            return;
        }
        TargetPollOutcome::StaleToken => "stale_token",
        TargetPollOutcome::OtherIncarnation => "other_incarnation",
        TargetPollOutcome::NobodyListens => "nobody_listens",
        TargetPollOutcome::Unanswered => "unanswered",
    };
    log::warn!(target: "sidecar", event = "target_lost", reason = reason;
        "poll of the target failed; polling again");
}
