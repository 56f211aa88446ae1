//! Calls from entries.

use std::rc::Rc;
use std::time::Duration;

use model::{HostUpdate, HostUpdateRequest};
use monoio::net::TcpListener;
use protocol::{ServerSettings, serve_host};
use runtime::uptime_ms;

use crate::evacuation;
use crate::process::Shared;

/// Serves the entries' connections: orders, and polls for events of runs.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let closing = Rc::clone(&shared);
    let settings = ServerSettings::builder(shared.key)
        .counters(shared.link_counters.clone())
        .connector(&shared.connector)
        .on_closed(move |entry| {
            log::info!(target: "sidecar", event = "link_down", entry = entry.to_string();
                "connection from an entry closed");
            closing.update(|host, now_ms, _| host.connection_closed(now_ms, entry));
            let mut announcer = closing.announcer.borrow_mut();
            announcer.entry_disconnected(uptime_ms(), entry);
        })
        .build();
    let ordered = Rc::clone(&shared);
    let order = move |orders| {
        ordered.update(|host, now_ms, actions| host.handle_orders(now_ms, orders, actions))
    };
    let introduced = Rc::clone(&shared);
    let introduce = move |key, address| {
        introduced
            .announcer
            .borrow_mut()
            .entry_connected(uptime_ms(), key, address);
    };
    let evacuated = Rc::clone(&shared);
    let evacuations = move |from, newer| evacuation::entry_shared(&evacuated, from, newer);
    let update = move |request| poll_events(Rc::clone(&shared), request);
    serve_host(listener, settings, order, update, introduce, evacuations).await;
}

async fn poll_events(shared: Rc<Shared>, request: HostUpdateRequest) -> HostUpdate {
    shared.update(|host, now_ms, actions| host.update_requested(now_ms, &request, actions));
    evacuation::entry_reported(&shared, request.evacuations);
    let has_update = || {
        let host = shared.host.borrow();
        let is_due = host.has_update(uptime_ms(), request.from, request.last_seen_event)
            || shared.evacuations.has_newer_than(request.evacuations);
        is_due.then_some(())
    };
    let wait = Duration::from_millis(u64::from(request.wait_ms));
    // After a timeout the answer still contains the host's view and a permit.
    let _ = monoio::time::timeout(wait, shared.host_changed.wait_until(has_update)).await;
    HostUpdate {
        evacuations: evacuation::report_to(&shared, request.evacuations),
        ..shared
            .host
            .borrow_mut()
            .update_for(uptime_ms(), request.from)
    }
}
