//! The small ports of the process.

use std::net::SocketAddr;
use std::rc::Rc;

use errors::{Error, ExitCode};
use monoio::net::TcpListener;
use web::{Response, ServerLimits, Stop};

use crate::process::Shared;

/// Largest body of a request at these ports, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// Opens a port; `key` names its setting.
///
/// # Errors
///
/// Fails if the port cannot be opened.
pub(crate) fn open(key: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    web::bind(address).map_err(|error| {
        Error::new(
            ExitCode::Unavailable,
            format!("cannot listen on {address}: {error}"),
        )
        .at(key)
        .with_remedy("free the port or name another one")
    })
}

fn limits() -> ServerLimits {
    ServerLimits::builder()
        .max_body_bytes(MAX_BODY_BYTES)
        .max_connections(64)
        .build()
}

/// Tells the balancer whether to send new connections.
pub(crate) async fn serve_readiness(shared: Rc<Shared>, listener: TcpListener) {
    web::serve(
        listener,
        limits(),
        Rc::default(),
        Stop::new(),
        move |_, _| {
            let status = if shared.is_ready() { 200 } else { 503 };
            async move { Response::empty(status) }
        },
    )
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    web::serve(
        listener,
        limits(),
        Rc::default(),
        Stop::new(),
        move |_, _| {
            let response = match shared.metrics.encode(&shared) {
                Ok(text) => Response::text(200, text),
                Err(error) => Response::error(500, &error.to_string()),
            };
            async move { response }
        },
    )
    .await;
}
