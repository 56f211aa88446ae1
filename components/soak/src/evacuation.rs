//! Evacuations of failure domains.

use std::time::Duration;

use monoio::time::sleep;
use platform_standins::evacuation_key;

use crate::soak::System;

/// Bound in the settings of the processes, in milliseconds.
pub(crate) const BOUND_MS: u64 = 5_000;

/// Extension of the bound, since other faults may make the store unstable, in milliseconds.
const UNSTABLE_STORE_MS: u64 = 6_000;

/// Returns the failure domain of a host.
pub(crate) fn failure_domain(host: usize) -> &'static str {
    if host.is_multiple_of(2) { "a" } else { "b" }
}

/// Evacuates the failure domain of a host until `duration` after the bound, in which any start there
/// is a violation. Does nothing if it is evacuated already.
pub(crate) async fn evacuate(system: &System, host: usize, duration: Duration) {
    let failure_domain = failure_domain(host);
    let key = evacuation_key(failure_domain);
    if !system.store.keys(&key).is_empty() {
        return;
    }
    system.store.put(&key, b"{}");
    sleep(Duration::from_millis(BOUND_MS + UNSTABLE_STORE_MS)).await;
    set_evacuated(system, failure_domain, true);
    sleep(duration).await;
    set_evacuated(system, failure_domain, false);
    system.store.delete(&key);
}

fn set_evacuated(system: &System, domain: &str, is_evacuated: bool) {
    let hosts = (0..system.hosts.len()).filter(|host| failure_domain(*host) == domain);
    for host in hosts {
        system.ledger.borrow_mut().set_evacuated(host, is_evacuated);
    }
}
