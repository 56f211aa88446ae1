//! Reports that the target sends to the agent.

use std::rc::Rc;

use adapter::TargetRequest;
use hosting::{ReportOutcome, TargetReport};
use monoio::net::TcpListener;
use web::{Request, Response, ServerLimits, StopSignal};

use crate::process::Shared;

/// Largest report, in bytes, by the specification of the targets' interface.
const MAX_REPORT_BYTES: usize = 4 * 1_024 * 1_024;

/// Serves the target's reports.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let limits = ServerLimits::builder()
        .max_body_bytes(MAX_REPORT_BYTES)
        .max_connections(64)
        .build();
    web::serve(
        listener,
        limits,
        Rc::default(),
        StopSignal::new(),
        move |request, _| {
            let response = answer(&shared, &request);
            async move { response }
        },
    )
    .await;
}

/// Logs what a report has changed, or why it was not used; reports that change nothing are logged at
/// debug level.
fn log_report(report: &TargetReport, outcome: ReportOutcome) {
    let level = match outcome {
        ReportOutcome::Changed => {
            log_target(report, "target reported a change of its state");
            return;
        }
        ReportOutcome::Unconfirmed => log::Level::Info,
        ReportOutcome::Contradictory => log::Level::Warn,
        ReportOutcome::Unchanged | ReportOutcome::Old => log::Level::Debug,
    };
    log::log!(target: "sidecar", level, event = "report", outcome = <&str>::from(outcome),
        instance = &*report.instance, born_unix_ms = report.born_unix_ms,
        sequence = report.sequence; "report of a target not used");
}

/// Logs the state of the target in use.
pub(crate) fn log_target(report: &TargetReport, message: &str) {
    log::info!(target: "sidecar", event = "target", instance = &*report.instance,
        born_unix_ms = report.born_unix_ms, sequence = report.sequence,
        is_draining = report.is_draining, leaves_in_ms = report.leaves_in_ms,
        cpu_millis = report.capacity.cpu_millis; "{message}");
}

fn answer(shared: &Rc<Shared>, request: &Request) -> Response {
    match adapter::target_request(request) {
        TargetRequest::Report(Ok(report)) => {
            let received = report.clone();
            let outcome = shared.update(|host, now_ms, actions| {
                host.handle_target_report(now_ms, received, actions)
            });
            log_report(&report, outcome);
            if outcome == ReportOutcome::Contradictory {
                return Response::error(
                    400,
                    "service or labels differ from earlier reports of this target since its start",
                );
            }
            adapter::acknowledgement()
        }
        TargetRequest::Report(Err(error)) => {
            log::warn!(target: "sidecar", event = "bad_report", reason = error.to_string();
                "malformed report of the target ignored; its last valid report stays in use");
            Response::error(400, &error.to_string())
        }
        TargetRequest::Leave(instance) => {
            log::info!(target: "sidecar", event = "target_left", instance = &*instance;
                "target announced that it is shutting down");
            shared.update(|host, _, _| host.target_left(&instance));
            adapter::acknowledgement()
        }
        TargetRequest::Unknown => Response::error(404, "no such call"),
    }
}
