//! The port at which the balancer asks whether to send new connections.

use std::future::ready;
use std::rc::Rc;

use monoio::net::TcpListener;
use web::{Response, ServerLimits, Stop};

use crate::process::Shared;

/// Largest body of a request, in bytes; none is expected.
const MAX_BODY_BYTES: usize = 4_096;

/// Connections at the same time: a few balancers.
const MAX_CONNECTIONS: usize = 64;

/// Answers the balancer; never returns.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let limits = ServerLimits::builder()
        .max_body_bytes(MAX_BODY_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    web::serve(listener, limits, Rc::default(), Stop::new(), move |_, _| {
        let status = if shared.is_ready() { 200 } else { 503 };
        ready(Response::empty(status))
    })
    .await;
}
