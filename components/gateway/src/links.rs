//! Connections to the agents of hosts.

use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use protocol::{HostLink, LinkError};
use runtime::{Backoff, monotonic_us, pause_after_failure, uptime_ms};
use scheduling::{HostSlot, UPDATE_TIMEOUT_MS};
use slotmap::Key;
use web::Notify;

use crate::bootstrap;
use crate::evacuation;
use crate::process::Shared;

/// Time limit of an attempt to connect, in milliseconds, to which the current reconnect pause is
/// added.
///
/// A host that is still starting does not answer the first SYN, and TCP sends the next one only
/// after a second; a new attempt is faster.
const BASE_CONNECT_TIMEOUT_MS: u64 = 100;

/// Upper bound of the time limit for an attempt to connect, in milliseconds.
const MAX_CONNECT_TIMEOUT_MS: u64 = 400;

/// Time limit of the answer to a batch of orders, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 300;

/// First pause before a lost connection is made again, in milliseconds; it doubles with each
/// failure.
///
/// It is short since an agent waits only 250 ms for its entry to reconnect.
const MIN_RECONNECT_PAUSE_MS: u64 = 10;

/// Longest pause between two attempts to connect, in milliseconds.
const MAX_RECONNECT_PAUSE_MS: u64 = 500;

/// Keeps a connection to the agent of a host while the scheduler needs one; returns when the host
/// has been removed.
pub(crate) async fn maintain(shared: Rc<Shared>, slot: HostSlot, address: String) {
    let mut backoff = Backoff::builder(MIN_RECONNECT_PAUSE_MS, MAX_RECONNECT_PAUSE_MS)
        .seed(shared.key.0 ^ slot.data().as_ffi())
        .build();
    let link_notifier = Rc::new(Notify::default());
    shared
        .link_notifiers
        .borrow_mut()
        .insert(slot, Rc::clone(&link_notifier));
    let is_known = || shared.addresses.borrow().get(&address) == Some(&slot);
    let registrations = || shared.registrations.borrow().get(slot).copied();
    while is_known() {
        if !shared.scheduler.borrow().is_connection_wanted(slot) {
            let wanted = || shared.scheduler.borrow().is_connection_wanted(slot) || !is_known();
            link_notifier.wait_until(|| wanted().then_some(())).await;
            backoff.record_success();
            continue;
        }
        let mut registrations_before = registrations();
        let limit_ms =
            (BASE_CONNECT_TIMEOUT_MS + backoff.next_pause_ms()).min(MAX_CONNECT_TIMEOUT_MS);
        let deadline_us = monotonic_us() + limit_ms * 1_000;
        match HostLink::connect(&shared.connector, &address, deadline_us).await {
            Ok(link) => {
                backoff.record_success();
                serve(&shared, slot, &address, &link, &link_notifier).await;
                registrations_before = registrations();
            }
            Err(error) => {
                shared.metrics.record_link_event("connect_failed");
                log::debug!(target: "gateway", event = "connect_failed", address = address.as_str(),
                    reason = error.to_string(), pause_ms = backoff.next_pause_ms();
                    "connection to an agent failed; retrying after a pause");
            }
        }
        let is_registered_anew = || (registrations() != registrations_before).then_some(());
        let registered = link_notifier.wait_until(is_registered_anew);
        if pause_unless(&mut backoff, registered).await {
            backoff.record_peer_start();
        }
    }
    shared.link_notifiers.borrow_mut().remove(slot);
    shared.registrations.borrow_mut().remove(slot);
}

/// Pauses after a failure; returns whether news of the other side ended the pause.
async fn pause_unless(backoff: &mut Backoff, news: impl Future<Output = ()>) -> bool {
    let pause = pin!(pause_after_failure(backoff));
    let news = pin!(news);
    matches!(select(pause, news).await, Either::Right(_))
}

async fn serve(
    shared: &Rc<Shared>,
    slot: HostSlot,
    address: &str,
    link: &HostLink,
    link_notifier: &Notify,
) {
    shared
        .scheduler
        .borrow_mut()
        .host_connected(slot, link.peer());
    shared.metrics.record_link_event("connected");
    log::info!(target: "gateway", event = "link_up", address = address,
        agent = link.peer().to_string(); "connected to an agent");
    let orders = pin!(send_orders(shared, slot, link, link_notifier));
    let updates = pin!(poll_updates(shared, slot, address, link));
    let evacuations = pin!(evacuation::share(shared, slot, link));
    let polls = select(updates, evacuations);
    let calls = select(orders, polls);
    let unwanted = || (!shared.scheduler.borrow().is_connection_wanted(slot)).then_some(());
    let released = pin!(link_notifier.wait_until(unwanted));
    let error = match select(calls, released).await {
        Either::Left((Either::Left((error, _)), _))
        | Either::Left((Either::Right((Either::Left((error, _)), _)), _))
        | Either::Left((Either::Right((Either::Right((error, _)), _)), _)) => error,
        Either::Right(_) => {
            shared.evacuations.agent_disconnected(slot);
            shared.scheduler.borrow_mut().host_disconnected(slot);
            shared.metrics.record_link_event("released");
            log::info!(target: "gateway", event = "link_released", address = address;
                "connection to an agent closed: the host is not needed now");
            return;
        }
    };
    shared.evacuations.agent_disconnected(slot);
    shared.scheduler.borrow_mut().host_disconnected(slot);
    shared.metrics.record_link_event("lost");
    log::warn!(target: "gateway", event = "link_down", address = address,
        agent = link.peer().to_string(), reason = error.to_string();
        "connection to an agent lost; reconnecting");
}

async fn send_orders(
    shared: &Rc<Shared>,
    slot: HostSlot,
    link: &HostLink,
    link_notifier: &Notify,
) -> LinkError {
    loop {
        let orders = link_notifier
            .wait_until(|| shared.scheduler.borrow_mut().take_orders(slot))
            .await;
        let number = orders.number;
        let deadline_us = monotonic_us() + ORDER_TIMEOUT_MS * 1_000;
        match link.order(orders, deadline_us).await {
            Ok(update) => apply_update(shared, slot, Some(number), &update),
            Err(error) => return error,
        }
    }
}

async fn poll_updates(
    shared: &Rc<Shared>,
    slot: HostSlot,
    address: &str,
    link: &HostLink,
) -> LinkError {
    // After the first view, which jobs may be waiting for.
    let mut is_introduced = false;
    loop {
        let now_ms = uptime_ms();
        let Some(mut request) = shared.scheduler.borrow().update_request(now_ms, slot) else {
            return LinkError::NotSent(protocol::LinkFault::Closed);
        };
        request.evacuations = evacuation::digest(shared);
        let wait_ms = u64::from(request.wait_ms) + UPDATE_TIMEOUT_MS;
        let deadline_us = monotonic_us() + wait_ms * 1_000;
        match link.update(request, deadline_us).await {
            Ok(update) => {
                // Before the events of runs, after which tasks are placed.
                if let Some(report) = &update.evacuations {
                    evacuation::agent_reported(shared, slot, address, report);
                }
                apply_update(shared, slot, None, &update);
            }
            Err(error) => return error,
        }
        if !is_introduced && let Err(error) = introduce(shared, link).await {
            return error;
        }
        is_introduced = true;
    }
}

/// Tells the agent where this entry takes announcements.
async fn introduce(shared: &Rc<Shared>, link: &HostLink) -> Result<(), LinkError> {
    let Some(address) = bootstrap::own_address(shared) else {
        return Ok(());
    };
    let deadline_us = monotonic_us() + ORDER_TIMEOUT_MS * 1_000;
    link.introduce(shared.key, address, deadline_us).await
}

fn apply_update(
    shared: &Rc<Shared>,
    slot: HostSlot,
    number: Option<u64>,
    update: &model::HostUpdate,
) {
    let now_ms = shared.advance_clock();
    let mut actions = Vec::new();
    shared
        .scheduler
        .borrow_mut()
        .handle_update(now_ms, slot, number, update, &mut actions);
    shared.perform(actions);
}
