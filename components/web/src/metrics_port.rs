//! HTTP port on which a process serves its metrics.

use std::fmt::Display;
use std::future::ready;
use std::rc::Rc;

use monoio::net::TcpListener;

use crate::limits::ServerLimits;
use crate::message::Response;
use crate::server::serve;
use crate::stop::Stop;

/// Limit of open connections; enough for a few scrapers and an operator.
const MAX_CONNECTIONS: usize = 16;

/// Largest body of a request, in bytes; requests for metrics have none.
const MAX_BODY_BYTES: usize = 4_096;

/// Serves the text that `encode` returns on every path; never returns.
pub async fn serve_metrics<E: Display>(
    listener: TcpListener,
    encode: impl Fn() -> Result<String, E> + 'static,
) {
    let limits = ServerLimits::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_body_bytes(MAX_BODY_BYTES)
        .build();
    serve(listener, limits, Rc::default(), Stop::new(), move |_, _| {
        ready(match encode() {
            Ok(text) => Response::text(200, text),
            Err(error) => Response::error(500, &error.to_string()),
        })
    })
    .await;
}
