//! Calls from entries.

use std::rc::Rc;
use std::time::Duration;

use model::{News, NewsRequest};
use monoio::net::TcpListener;
use protocol::{ServerSettings, serve_host};
use runtime::uptime_ms;

use crate::process::Shared;

/// Serves the entries' connections: orders, and polls for events of runs.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let closing = Rc::clone(&shared);
    let settings = ServerSettings::builder(shared.key)
        .counters(shared.links.clone())
        .traffic(shared.traffic.clone())
        .closed(move |entry| {
            log::info!(target: "sidecar", event = "link_down", entry = entry.to_string();
                "connection from an entry closed");
            closing.update(|host, now_ms, _| host.link_closed(now_ms, entry));
        })
        .build();
    let ordered = Rc::clone(&shared);
    let order =
        move |orders| ordered.update(|host, now_ms, actions| host.order(now_ms, orders, actions));
    let news = move |request| poll_events(Rc::clone(&shared), request);
    serve_host(listener, settings, order, news).await;
}

async fn poll_events(shared: Rc<Shared>, request: NewsRequest) -> News {
    shared.update(|host, now_ms, actions| host.question(now_ms, &request, actions));
    let has_news = || {
        let host = shared.host.borrow();
        host.has_news(uptime_ms(), request.from, request.seen)
            .then_some(())
    };
    let wait = Duration::from_millis(u64::from(request.wait_ms));
    // After a timeout the answer still contains the host's view and a permit.
    let _ = monoio::time::timeout(wait, shared.host_changed.wait_until(has_news)).await;
    shared.host.borrow_mut().news(uptime_ms(), request.from)
}
