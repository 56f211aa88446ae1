//! Reports that the target sends to the agent.

use std::rc::Rc;

use adapter::TargetRequest;
use monoio::net::TcpListener;
use web::{Request, Response, ServerLimits, Stop};

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
        Stop::new(),
        move |request, _| {
            let response = answer(&shared, &request);
            async move { response }
        },
    )
    .await;
}

fn answer(shared: &Rc<Shared>, request: &Request) -> Response {
    match adapter::target_request(request) {
        TargetRequest::Report(Ok(call)) => {
            let report = call.report.clone();
            let has_changed =
                shared.update(|host, now_ms, actions| host.report(now_ms, report, actions));
            if has_changed {
                log::info!(target: "sidecar", event = "target", instance = &*call.report.instance,
                    born_unix_ms = call.report.born_unix_ms, sequence = call.report.sequence,
                    is_draining = call.report.is_draining, leaves_in_ms = call.leaves_in_ms,
                    cpu_millis = call.report.capacity.cpu_millis;
                    "target reported a change of its state");
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
