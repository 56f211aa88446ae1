//! Executes the actions that the scheduler returns.

use scheduling::SchedulerAction;

use crate::process::{JobAnswer, Shared};

/// Executes one action.
pub(crate) fn perform(shared: &Shared, action: SchedulerAction) {
    match action {
        SchedulerAction::SendOrders(host) | SchedulerAction::UpdateConnection(host) => {
            if let Some(link_notifier) = shared.link_notifiers.borrow().get(host) {
                link_notifier.notify_all();
            }
        }
        SchedulerAction::Answer {
            job,
            verdict,
            is_late,
            ..
        } => {
            let waiters = shared.waiters.borrow_mut().remove(&job);
            for waiter in waiters.unwrap_or_default() {
                // Sending fails if the caller has disconnected.
                let _ = waiter.send(JobAnswer { verdict, is_late });
            }
        }
        SchedulerAction::LogRunEvent {
            run,
            host,
            age_ms,
            event,
        } => shared.metrics.record_run_event(run, &host, age_ms, event),
        SchedulerAction::LogInterference { of, by, change } => {
            let factor_percent = (100.0 * change.factor).round() as u64;
            if change.is_believed {
                log::info!(target: "gateway", event = "interference", kind = of, beside = by,
                    factor_percent = factor_percent;
                    "tasks take longer beside another kind; they are kept apart where there is room");
            } else {
                log::info!(target: "gateway", event = "interference_over", kind = of, beside = by,
                    factor_percent = factor_percent;
                    "no recent evidence that tasks slow each other down; they are no longer kept apart");
            }
        }
        SchedulerAction::LogQuarantine { queue, is_begun } => {
            if is_begun {
                log::warn!(target: "gateway", event = "quarantine", queue = &*queue;
                    "tasks of a queue crash targets; they go to a quarter of the hosts only");
            } else {
                log::info!(target: "gateway", event = "quarantine_over", queue = &*queue;
                    "tasks of a queue have crashed no target lately; they go to all hosts again");
            }
        }
        SchedulerAction::RecordForecast(outcome) => shared.metrics.record_forecast(&outcome),
        SchedulerAction::LogPlacement {
            run,
            host,
            view_age_ms,
            wait_ms,
        } => {
            shared.metrics.record_placement(wait_ms);
            log::debug!(target: "gateway", event = "placed", id = run.task.job.as_str(),
                step = run.task.step, task = run.task.index, attempt = run.attempt, host = &*host,
                view_age_ms = view_age_ms, expected_wait_ms = wait_ms; "task placed on a host");
        }
    }
}
