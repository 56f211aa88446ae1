//! The host's registration in the platform's store, by which entries discover it.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hosting::TargetReport;
use model::{HOSTS_PREFIX, HostRegistration, RegisteredTarget};
use platform::StoreError;
use runtime::{Backoff, pause_after_failure, uptime_ms};

use crate::process::Shared;

/// Lifetime of the registration's lease, in milliseconds: it stays this long after the agent's last
/// renewal.
const LEASE_TTL_MS: u64 = 60_000;

/// Interval of lease renewals, in milliseconds; two in a row may fail.
const RENEWAL_INTERVAL_MS: u64 = 20_000;

/// Interval at which the registration is checked, in milliseconds; a lost one has to be back within
/// two seconds of the store's recovery.
const CHECK_INTERVAL_MS: u64 = 1_500;

/// Pause after a failed call to the store, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// Keeps the host registered; never returns.
pub(crate) async fn maintain(shared: Rc<Shared>) {
    restore_target(&shared).await;
    let mut was_store_reachable = true;
    let mut backoff = Backoff::builder(RETRY_PAUSE_MS, RETRY_PAUSE_MS)
        .seed(shared.key.0)
        .build();
    loop {
        let Err(error) = register(&shared).await;
        shared
            .announcer
            .borrow_mut()
            .registration_unconfirmed(uptime_ms());
        let is_store_reachable = error == StoreError::Missing;
        if was_store_reachable && !is_store_reachable {
            log::warn!(target: "sidecar", event = "store_lost", reason = error.to_string();
                "host cannot be registered in the store; retrying");
        }
        was_store_reachable = is_store_reachable;
        pause_after_failure(&mut backoff).await;
    }
}

/// Restores the target's last report from the registration that an earlier agent of the host left,
/// so that runs can start before the target's next report.
async fn restore_target(shared: &Rc<Shared>) {
    let item = match shared.store.get(&key(shared), false).await {
        Ok(read) => read.item,
        Err(error) => {
            log::info!(target: "sidecar", event = "nothing_recalled", reason = error.to_string();
                "no earlier registration could be read; waiting for the target's report");
            return;
        }
    };
    match serde_json::from_slice::<HostRegistration>(&item.value) {
        Ok(registration) => {
            if let Some(target) = registration.target {
                log::info!(target: "sidecar", event = "target_recalled",
                    instance = target.instance.as_str(), born_unix_ms = target.born_unix_ms;
                    "target of an earlier agent found in its registration");
                let report = target_report(target);
                shared.update(|host, now_ms, actions| {
                    host.restore_target(now_ms, report, actions);
                });
            }
        }
        Err(error) => {
            log::warn!(target: "sidecar", event = "bad_registration", key = item.key.as_str(),
                reason = error.to_string();
                "registration of an earlier agent is malformed; waiting for the target's report");
        }
    }
}

fn key(shared: &Shared) -> String {
    format!("{HOSTS_PREFIX}{}", shared.settings().name)
}

/// Registers the host, renews its lease and updates it when the target changes.
///
/// # Errors
///
/// Fails if a call to the store fails, or if the registration or its lease is missing.
async fn register(shared: &Rc<Shared>) -> Result<Infallible, StoreError> {
    let store = &shared.store;
    let key = key(shared);
    let lease = store.grant_lease(LEASE_TTL_MS).await?;
    let mut registered = registration(shared);
    store.put(&key, &encode(&registered)?, lease).await?;
    shared.announcer.borrow_mut().registration_confirmed();
    log::info!(target: "sidecar", event = "registered", key = key.as_str();
        "host registered in the store");
    let mut renewed_ms = uptime_ms();
    loop {
        monoio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if uptime_ms() >= renewed_ms + RENEWAL_INTERVAL_MS {
            store.renew_lease(lease).await?;
            renewed_ms = uptime_ms();
        }
        let current = registration(shared);
        if has_target_changed(&registered, &current) {
            store.put(&key, &encode(&current)?, lease).await?;
            registered = current;
        } else {
            store.get(&key, true).await?;
        }
    }
}

/// Returns whether the target has changed in anything but the sequence number of its report.
fn has_target_changed(registered: &HostRegistration, current: &HostRegistration) -> bool {
    let without_number = |registration: &HostRegistration| {
        registration.target.clone().map(|target| RegisteredTarget {
            sequence: 0,
            ..target
        })
    };
    without_number(registered) != without_number(current)
}

fn encode(registration: &HostRegistration) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(registration).map_err(|error| StoreError::Unreadable(error.to_string()))
}

fn registration(shared: &Shared) -> HostRegistration {
    let host = shared.host.borrow();
    HostRegistration {
        name: shared.settings().name.clone(),
        address: shared.settings().advertised_peer_address().to_string(),
        failure_domain: shared.settings().failure_domain.clone(),
        target: host.target().map(registered_target),
    }
}

fn registered_target(report: &TargetReport) -> RegisteredTarget {
    RegisteredTarget {
        instance: report.instance.to_string(),
        born_unix_ms: report.born_unix_ms,
        sequence: report.sequence,
        group: report.group.to_string(),
        labels: report.labels.iter().map(ToString::to_string).collect(),
        capacity: report.capacity,
        is_draining: report.is_draining,
    }
}

fn target_report(target: RegisteredTarget) -> TargetReport {
    TargetReport {
        instance: Rc::from(target.instance),
        born_unix_ms: target.born_unix_ms,
        sequence: target.sequence,
        group: Rc::from(target.group),
        labels: target.labels.into_iter().map(Rc::from).collect(),
        capacity: target.capacity,
        is_draining: target.is_draining,
        leaves_in_ms: None,
    }
}
