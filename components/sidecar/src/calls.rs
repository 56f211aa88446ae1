//! Calls to the target on the same host.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::select;
use hosting::{
    CheckOutcome, StartOutcome, TARGET_CALL_TIMEOUT_MS, TargetCall, TargetIdentity, TargetPoll,
    TargetPollOutcome,
};
use model::TaskRef;
use runtime::uptime_ms;
use web::Request;

use crate::process::Shared;
use crate::reports::log_target;

/// Interval at which the parallel polls check whether they are needed, and pause after one that
/// failed immediately, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Makes one call to the target.
pub(crate) fn perform(shared: &Rc<Shared>, call: TargetCall) {
    let shared = Rc::clone(shared);
    match call {
        TargetCall::Start {
            instance,
            task,
            number,
            specification,
            lease_end_ms,
            token,
        } => {
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
        TargetCall::Stop {
            instance,
            task,
            number,
            token,
        } => {
            let request = adapter::stop_request(instance.as_deref(), task, number, token);
            monoio::spawn(stop(shared, request, task, number));
        }
        TargetCall::Check { identity, token } => {
            monoio::spawn(check(shared, identity, token));
        }
    }
}

async fn start(shared: Rc<Shared>, request: Request, task: TaskRef, number: u32) {
    let limit = Duration::from_millis(TARGET_CALL_TIMEOUT_MS);
    let result = shared.target.call(&request, limit).await;
    let outcome = adapter::start_outcome(&result);
    shared.metrics.record_start(outcome);
    if outcome != StartOutcome::Started {
        log_failed_start(&shared, task, number, outcome);
    }
    shared.update(|host, now_ms, actions| {
        host.handle_start_outcome(now_ms, task, number, outcome, actions);
    });
}

/// Logs a start that did not succeed; further ones with the same outcome are counted and logged once
/// a second, and each of them at debug level.
fn log_failed_start(shared: &Shared, task: TaskRef, number: u32, outcome: StartOutcome) {
    let now_ms = uptime_ms();
    let count = shared.failed_starts.borrow_mut().record(now_ms, outcome);
    let level = if count.is_some() {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    log::log!(target: "sidecar", level, event = "start", id = task.job.as_str(), step = task.step,
        task = task.index, run = number, outcome = format!("{outcome:?}"),
        count = count.unwrap_or(1);
        "target refused the start of a run or did not answer it");
}

/// Logs the starts that did not succeed and have been counted for a second.
pub(crate) fn log_failed_starts(shared: &Shared) {
    let due = shared.failed_starts.borrow_mut().take_due(uptime_ms());
    for (outcome, count) in due {
        log::info!(target: "sidecar", event = "starts", outcome = format!("{outcome:?}"),
            count = count; "target refused further starts of runs or did not answer them");
    }
}

async fn stop(shared: Rc<Shared>, request: Request, task: TaskRef, number: u32) {
    let limit = Duration::from_millis(TARGET_CALL_TIMEOUT_MS);
    let result = shared.target.call(&request, limit).await;
    let is_accepted = adapter::is_stop_accepted(&result);
    shared.metrics.record_stop(is_accepted);
    log::debug!(target: "sidecar", event = "stop", id = task.job.as_str(), step = task.step,
        task = task.index, run = number, is_answered = is_accepted;
        "stop order for a run sent to the target");
    if is_accepted {
        shared.update(|host, now_ms, _| host.stop_accepted(now_ms, task, number));
    }
}

/// Asks whether the target is an incarnation that a report names.
async fn check(shared: Rc<Shared>, identity: TargetIdentity, token: u64) {
    let poll = TargetPoll {
        instance: Some(Rc::clone(&identity.instance)),
        lease_end_ms: None,
        token,
        acknowledged: 0,
        wait_ms: 0,
        timeout_ms: TARGET_CALL_TIMEOUT_MS,
    };
    let sent_at_ms = uptime_ms();
    let request = adapter::poll_request(&poll);
    let limit = Duration::from_millis(poll.timeout_ms);
    let outcome = adapter::poll_outcome(&shared.target.call(&request, limit).await);
    let result = shared.update(|host, now_ms, actions| {
        host.check_ended(now_ms, sent_at_ms, &identity, &outcome, actions)
    });
    shared.metrics.record_check(result);
    let (instance, born_unix_ms) = (&*identity.instance, identity.born_unix_ms);
    match result {
        CheckOutcome::Confirmed => {
            if let Some(report) = shared.host.borrow().target() {
                log_target(report, "target confirmed its report");
            }
        }
        CheckOutcome::Present => {}
        CheckOutcome::Refused => {
            log::warn!(target: "sidecar", event = "report_refused", instance = instance,
                born_unix_ms = born_unix_ms;
                "report ignored: the target at the address of this host is another one");
        }
        CheckOutcome::Undecided => {
            log::debug!(target: "sidecar", event = "report_unconfirmed", instance = instance,
                born_unix_ms = born_unix_ms;
                "target did not answer whether a report is its own; asking again");
        }
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
            host.poll_ended(now_ms, sent_at_ms, outcome, actions);
        });
        wait_until_poll_is_due(&shared).await;
    }
}

/// Waits for the pause after a poll that failed; an event of the host, as a report of the target,
/// may end it.
async fn wait_until_poll_is_due(shared: &Shared) {
    loop {
        let pause_ms = poll_pause_ms(shared);
        if pause_ms == 0 {
            return;
        }
        let is_due = || (poll_pause_ms(shared) == 0).then_some(());
        let pause = pin!(monoio::time::sleep(Duration::from_millis(pause_ms)));
        let event = pin!(shared.host_changed.wait_until(is_due));
        select(pause, event).await;
    }
}

fn poll_pause_ms(shared: &Shared) -> u64 {
    let next_ms = shared.host.borrow().next_poll_at_ms();
    next_ms.saturating_sub(uptime_ms())
}

fn parallel_poll_pause_ms(shared: &Shared) -> u64 {
    let now_ms = uptime_ms();
    let next_ms = shared.host.borrow().next_parallel_poll_at_ms(now_ms);
    next_ms.saturating_sub(now_ms)
}

/// Polls in addition to [`poll_target`] for a time after the target left a call unanswered, so that
/// one lost answer delays neither the renewal of the lease nor the news of an end; never returns.
///
/// `number` counts the loops; this one polls while more than `number` polls should be in progress.
pub(crate) async fn poll_in_parallel(shared: Rc<Shared>, number: usize) {
    loop {
        let is_needed = shared.host.borrow().poll_count(uptime_ms()) > number;
        if !is_needed || parallel_poll_pause_ms(&shared) > 0 {
            monoio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            continue;
        }
        let sent_at_ms = uptime_ms();
        let outcome = poll_once(&shared).await;
        if matches!(outcome, TargetPollOutcome::Answered(_)) {
            shared.update(|host, now_ms, actions| {
                host.poll_ended(now_ms, sent_at_ms, outcome, actions);
            });
        } else if uptime_ms().saturating_sub(sent_at_ms) < CHECK_INTERVAL_MS {
            monoio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    }
}

async fn poll_once(shared: &Rc<Shared>) -> TargetPollOutcome {
    let request = shared.update(|host, now_ms, actions| host.target_poll(now_ms, actions));
    let limit = Duration::from_millis(request.wait_ms + request.timeout_ms);
    let call = adapter::poll_request(&request);
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
        TargetPollOutcome::Inconclusive => "inconclusive",
        TargetPollOutcome::Unanswered => "unanswered",
    };
    log::warn!(target: "sidecar", event = "target_lost", reason = reason;
        "poll of the target failed; polling again");
}
