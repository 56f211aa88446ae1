//! The agent's entry in the directory of hosts.

use std::rc::Rc;
use std::time::Duration;

use model::{HOSTS_PREFIX, HostRegistration};
use platform::StoreFault;
use runtime::uptime_ms;

use crate::process::Shared;

/// How long the registration outlives its agent, in milliseconds.
const LEASE_TTL_MS: u64 = 60_000;

/// Interval of renewals, in milliseconds: two may fail.
const RENEWAL_MS: u64 = 20_000;

/// Interval at which the registration is looked for, in milliseconds; one that was lost is to be
/// back within two seconds of the store's return.
const CHECK_MS: u64 = 1_500;

/// Pause after a failed call of the store, in milliseconds.
const RETRY_MS: u64 = 500;

/// Keeps the host registered.
pub(crate) async fn keep(shared: Rc<Shared>) {
    let mut is_registered = true;
    loop {
        let result = register(&shared).await;
        let Err(fault) = result;
        if is_registered {
            log::warn!(target: "sidecar", event = "store_lost", reason = fault.to_string();
                "the host cannot be registered");
        }
        is_registered = false;
        monoio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        if fault == StoreFault::Missing {
            is_registered = true;
        }
    }
}

/// Registers the host and keeps it so; returns why it is not any more.
async fn register(shared: &Rc<Shared>) -> Result<std::convert::Infallible, StoreFault> {
    let store = &shared.store;
    let key = format!("{HOSTS_PREFIX}{}", shared.settings.name);
    let registration = HostRegistration {
        name: shared.settings.name.clone(),
        address: shared.settings.peer_address.to_string(),
        failure_domain: shared.settings.failure_domain.clone(),
    };
    let value = serde_json::to_vec(&registration)
        .map_err(|error| StoreFault::Unreadable(error.to_string()))?;
    let lease = store.grant_lease(LEASE_TTL_MS).await?;
    store.put(&key, &value, lease).await?;
    log::info!(target: "sidecar", event = "registered", key = key.as_str(); "the host is registered");
    let mut renewed_ms = uptime_ms();
    loop {
        monoio::time::sleep(Duration::from_millis(CHECK_MS)).await;
        if uptime_ms() >= renewed_ms + RENEWAL_MS {
            store.keep_lease(lease).await?;
            renewed_ms = uptime_ms();
        }
        store.get(&key, true).await?;
    }
}
