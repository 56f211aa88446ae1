//! Readiness endpoint for the balancer's health check.

use std::future::ready;
use std::rc::Rc;

use monoio::net::TcpListener;
use web::{Response, ServerLimits, StopSignal};

use crate::process::Shared;

/// Largest request body, in bytes; health checks have none.
const MAX_BODY_BYTES: usize = 4_096;

/// Largest number of concurrent connections; only a few balancers connect.
const MAX_CONNECTIONS: usize = 64;

/// Answers health checks with 200 or 503; never returns.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let limits = ServerLimits::builder()
        .max_body_bytes(MAX_BODY_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    web::serve(
        listener,
        limits,
        Rc::default(),
        StopSignal::new(),
        move |_, _| {
            let status = if shared.is_ready() { 200 } else { 503 };
            ready(Response::empty(status))
        },
    )
    .await;
}
