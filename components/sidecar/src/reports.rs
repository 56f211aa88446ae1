//! Reports of the target.

use std::rc::Rc;

use adapter::TargetCall;
use monoio::net::TcpListener;
use web::{Request, Response, ServerLimits, Stop};

use crate::process::Shared;

/// Largest report, in bytes; from the targets' interface.
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
    match adapter::target_call(request) {
        TargetCall::Report(Ok(call)) => {
            let report = call.report.clone();
            let is_news =
                shared.apply_event(|host, now_ms, actions| host.report(now_ms, report, actions));
            if is_news {
                log::info!(target: "sidecar", event = "target", instance = &*call.report.instance,
                    born_unix_ms = call.report.born_unix_ms, sequence = call.report.sequence,
                    is_draining = call.report.is_draining, leaves_in_ms = call.leaves_in_ms,
                    cpu_millis = call.report.capacity.cpu_millis; "the target reported a change");
            }
            adapter::acknowledgement()
        }
        TargetCall::Report(Err(error)) => {
            log::warn!(target: "sidecar", event = "bad_report", reason = error.to_string();
                "a report cannot be read and is not used");
            Response::error(400, &error.to_string())
        }
        TargetCall::Leave(instance) => {
            log::info!(target: "sidecar", event = "target_left", instance = &*instance;
                "the target has left");
            shared.apply_event(|host, _, _| host.target_left(&instance));
            adapter::acknowledgement()
        }
        TargetCall::Unknown => Response::error(404, "no such call"),
    }
}
