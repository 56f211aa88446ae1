//! Requests that reach an entry of the users' platform right after its start.

mod platform_support;

use platform_standins::{CONFIGURATION_KEY, StoreServer, configuration};
use platform_support::{GROUP, HOST, PREFIX, start_entry};
use serde_json::Value;

const ID: &str = "5c0e7a21d94b36f8";

/// Time that the store takes to answer, in milliseconds.
const STORE_DELAY_MS: u64 = 300;

// After a loss of power callers returned before the entries had read the configuration, and were
// refused although the store answered a moment later.
#[test]
fn a_request_waits_for_the_configuration_of_an_entry_that_has_just_started() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let body = configuration(1, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        store.faults().delay_ms.set(STORE_DELAY_MS);
        let entry = start_entry(folder.path(), store.address(), "info");
        let malformed = entry.status_of(ID, &Value::Null).await;
        assert_eq!(malformed, Some(400));
    });
    run.expect("the runtime starts");
}

#[test]
fn a_request_is_refused_if_the_store_does_not_answer() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        store.faults().is_silent.set(true);
        let entry = start_entry(folder.path(), store.address(), "info");
        let refused = entry.status_of(ID, &Value::Null).await;
        assert_eq!(refused, Some(503));
    });
    run.expect("the runtime starts");
}
