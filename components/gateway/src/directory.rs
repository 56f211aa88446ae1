//! Discovers hosts by their registrations in the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use std::net::SocketAddr;

use adapter::{DecodeError, StoreItem, WatchedChange};
use model::{HOSTS_PREFIX, HostRegistration};
use peers::{MAX_HOSTS_IN_REPLY, StorePart};
use platform::StoreError;
use protocol::HostContact;
use runtime::{Backoff, RepeatedLines, pause_after_failure, uptime_ms};
use rustc_hash::FxHashSet;
use scheduling::HostInfo;

use crate::process::Shared;
use crate::{bootstrap, links};

/// How long a watch waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 5_000;

/// Pause before the hosts are listed again when a watch may have missed a change, in milliseconds.
const RELIST_PAUSE_MS: u64 = 1_000;

/// Pause after a failed call to the store, in milliseconds; registrations of live hosts have to be
/// known again within two seconds of the store's recovery.
const RETRY_PAUSE_MS: u64 = 500;

/// Addresses of the registered hosts, by their keys in the store.
type RegisteredAddresses = BTreeMap<String, String>;

/// Keeps the known hosts in sync with the store; while the store is unreachable, the known hosts
/// stay in use.
pub(crate) async fn follow(shared: Rc<Shared>) {
    let mut registered = RegisteredAddresses::new();
    let mut failures = RepeatedLines::default();
    let mut backoff = Backoff::builder(RETRY_PAUSE_MS, RETRY_PAUSE_MS)
        .seed(shared.key.0)
        .build();
    loop {
        match list_and_watch(&shared, &mut registered, &mut failures).await {
            Ok(()) => backoff.record_success(),
            Err(error) => {
                if let Some(count) = failures.record(uptime_ms(), ()) {
                    log::info!(target: "gateway", event = "directory_unavailable",
                        reason = error.to_string(), count = count;
                        "hosts cannot be read from the store; the known ones stay in use");
                }
                pause_after_failure(&mut backoff).await;
            }
        }
    }
}

/// Logs the failures that no line has counted, once the store answers again.
fn log_uncounted_failures(failures: &mut RepeatedLines<()>) {
    for ((), count) in failures.drain(uptime_ms()) {
        log::info!(target: "gateway", event = "directory_unavailable", count = count;
            "hosts could not be read from the store, which answers again");
    }
}

/// Lists the hosts and applies watched changes; returns when a change may have been missed.
async fn list_and_watch(
    shared: &Rc<Shared>,
    registered: &mut RegisteredAddresses,
    failures: &mut RepeatedLines<()>,
) -> Result<(), StoreError> {
    let listed = shared.store.list(HOSTS_PREFIX, false).await;
    shared.metrics.record_store_call("list", listed.is_ok());
    bootstrap::record_store_read(shared, StorePart::Hosts, is_answered(&listed));
    let list = listed?;
    log_uncounted_failures(failures);
    log_unreadable(&list.unreadable);
    registered.clear();
    for item in &list.items {
        add_registered(shared, item, registered);
    }
    shared.scheduler.borrow_mut().hosts_listed();
    let mut revision = list.revision;
    loop {
        let watched = shared
            .store
            .watch(HOSTS_PREFIX, revision, WATCH_WAIT_MS)
            .await;
        shared.metrics.record_store_call("watch", watched.is_ok());
        bootstrap::record_store_read(shared, StorePart::Hosts, is_answered(&watched));
        let watch = watched?;
        log_unreadable(&watch.unreadable);
        for change in &watch.changes {
            match change {
                WatchedChange::Put(item) => {
                    add_registered(shared, item, registered);
                    if let Some(address) = registered.get(&item.key) {
                        end_reconnect_pause(shared, address);
                    }
                }
                WatchedChange::Deleted { key, .. } => {
                    registered.remove(key);
                }
            }
        }
        forget_lost_hosts(shared, registered);
        // The store's revision advanced without an event: the watch may have missed a change.
        if watch.changes.is_empty() && watch.revision != revision {
            monoio::time::sleep(Duration::from_millis(RELIST_PAUSE_MS)).await;
            return Ok(());
        }
        revision = watch.revision;
    }
}

/// Returns whether the store has answered, if only that a key or the history is missing.
pub(crate) fn is_answered<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Ok(_) | Err(StoreError::Missing))
}

fn add_registered(shared: &Rc<Shared>, item: &StoreItem, registered: &mut RegisteredAddresses) {
    match read_registration(&item.value) {
        Ok(registration) => {
            registered.insert(item.key.clone(), registration.address.clone());
            add_host(shared, &registration, "store");
            update_host(shared, &registration, "store");
        }
        Err(error) => {
            log::warn!(target: "gateway", event = "bad_registration", key = item.key.as_str(),
                reason = error; "registration of a host is malformed and is ignored");
        }
    }
}

/// Decodes a registration.
///
/// # Errors
///
/// Fails if it is malformed or its address cannot be connected to.
fn read_registration(value: &[u8]) -> Result<HostRegistration, String> {
    let registration: HostRegistration =
        serde_json::from_slice(value).map_err(|error| error.to_string())?;
    match registration.address.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(registration),
        _ => Err(format!(
            "`address` is `{}`, but must be an IP address and a port from 1 to 65535",
            registration.address
        )),
    }
}

fn log_unreadable(errors: &[DecodeError]) {
    for error in errors {
        log::warn!(target: "gateway", event = "bad_item", reason = error.to_string();
            "item among the registrations of hosts cannot be read and is ignored");
    }
}

/// Makes the entry connect to a host that was registered anew without waiting for the end of a
/// pause: its agent is there.
fn end_reconnect_pause(shared: &Shared, address: &String) {
    let Some(slot) = shared.addresses.borrow().get(address).copied() else {
        return;
    };
    let mut registrations = shared.registrations.borrow_mut();
    let count = registrations.get(slot).copied().unwrap_or(0);
    registrations.insert(slot, count + 1);
    if let Some(link_notifier) = shared.link_notifiers.borrow().get(slot) {
        link_notifier.notify_all();
    }
}

/// Adds the host of an agent that has announced it, or keeps the host for longer if it is known.
pub(crate) fn add_announced_host(shared: &Rc<Shared>, host: &HostContact) {
    let address = host.address.to_string();
    let known = shared.addresses.borrow().get(&address).copied();
    let Some(slot) = known else {
        return add_host_from_peer(shared, host, "announcement");
    };
    let now_ms = uptime_ms();
    shared.scheduler.borrow_mut().host_announced(now_ms, slot);
    update_host(shared, &registration(host), "announcement");
}

/// Adds a host that a peer has told, unless its address is known or too many hosts are.
pub(crate) fn add_host_from_peer(shared: &Rc<Shared>, host: &HostContact, source: &str) {
    if shared.addresses.borrow().len() >= MAX_HOSTS_IN_REPLY {
        log::debug!(target: "gateway", event = "host_ignored", host = host.name.as_str(),
            address = host.address.to_string(), source = source;
            "host told by a peer ignored: too many hosts are known");
        return;
    }
    add_host(shared, &registration(host), source);
}

fn registration(host: &HostContact) -> HostRegistration {
    HostRegistration {
        name: host.name.clone(),
        address: host.address.to_string(),
        failure_domain: host.failure_domain.clone(),
        target: None,
    }
}

/// Adds a host unless its address is known, and starts to connect to its agent when needed.
fn add_host(shared: &Rc<Shared>, registration: &HostRegistration, source: &str) {
    let mut addresses = shared.addresses.borrow_mut();
    if addresses.contains_key(&registration.address) {
        return;
    }
    let info = HostInfo {
        name: Rc::from(registration.name.as_str()),
        address: Rc::from(registration.address.as_str()),
        failure_domain: Rc::from(registration.failure_domain.as_str()),
    };
    let slot = shared.scheduler.borrow_mut().add_host(uptime_ms(), info);
    addresses.insert(registration.address.clone(), slot);
    log::info!(target: "gateway", event = "host_known", host = registration.name.as_str(),
        address = registration.address.as_str(),
        failure_domain = registration.failure_domain.as_str(), source = source; "host discovered");
    let address = registration.address.clone();
    monoio::spawn(links::maintain(Rc::clone(shared), slot, address));
}

/// Replaces the name and the failure domain of a known host by those that its agent has given.
fn update_host(shared: &Shared, registration: &HostRegistration, source: &str) {
    let known = shared
        .addresses
        .borrow()
        .get(&registration.address)
        .copied();
    let Some(slot) = known else {
        return;
    };
    let (name, failure_domain) = (&registration.name, &registration.failure_domain);
    let now_ms = uptime_ms();
    let mut actions = Vec::new();
    let mut scheduler = shared.scheduler.borrow_mut();
    let is_changed = scheduler.update_host(now_ms, slot, name, failure_domain, &mut actions);
    drop(scheduler);
    if is_changed {
        log::info!(target: "gateway", event = "host_changed", host = name.as_str(),
            address = registration.address.as_str(), failure_domain = failure_domain.as_str(),
            source = source; "name or failure domain of a host replaced");
    }
    shared.perform(actions);
}

/// Removes hosts that are no longer registered and have not answered for a long time.
///
/// A deleted key alone doesn't remove a host: the connection to its agent shows whether it is
/// alive.
fn forget_lost_hosts(shared: &Shared, registered: &RegisteredAddresses) {
    let registered: FxHashSet<&String> = registered.values().collect();
    let mut scheduler = shared.scheduler.borrow_mut();
    shared.addresses.borrow_mut().retain(|address, slot| {
        let is_gone =
            !registered.contains(address) && scheduler.remove_expired_host(uptime_ms(), *slot);
        if is_gone {
            log::info!(target: "gateway", event = "host_forgotten", address = address.as_str();
                "host removed: not registered and not reachable for a long time");
            if let Some(link_notifier) = shared.link_notifiers.borrow().get(*slot) {
                link_notifier.notify_all();
            }
        }
        !is_gone
    });
}
