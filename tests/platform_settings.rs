//! An entry on the users' platform whose settings and limits change while it runs.

mod platform_support;

use platform_standins::{CONFIGURATION_KEY, StoreServer, configuration, job, limit_bodies};
use platform_support::support::wait_until;
use platform_support::{GROUP, HOST, PREFIX, free_address, start_entry};
use serde_json::Value;

const ID: &str = "5c0e7a21d94b36f8";

fn large_job() -> Value {
    let mut body = job(1, 50);
    body["specification"] = Value::from("x".repeat(600));
    body
}

#[test]
fn changed_settings_are_in_force_without_a_signal_and_faulty_ones_are_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut entry = start_entry(folder.path(), free_address(), "info");
    entry.write("drain_timeout_ms = \"soon\"\n");
    let line = entry.process.wait_for_line("\"reload_failed\"");
    assert!(line.contains("drain_timeout_ms"), "{line}");
    let changed = entry.text.replace("\"domain\"", "\"other\"");
    entry.write(&format!("{changed}limits = {{ max_body_bytes = 512 }}\n"));
    let line = entry.process.wait_for_line("\"is_changed\":true");
    assert!(
        line.contains("\"at_next_start\":\"failure_domain\""),
        "{line}"
    );
    let run = runtime::run(async {
        assert_eq!(entry.status_of(ID, &large_job()).await, Some(413));
        // Without a configuration nothing else is served.
        assert_eq!(entry.status_of(ID, &job(1, 50)).await, Some(503));
    });
    run.expect("the runtime starts");
    entry.process.signal("HUP");
    entry.process.wait_for_line("\"is_changed\":false");
}

#[test]
fn limits_of_the_configuration_hold_for_callers() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let publish = |version, max_body_bytes| {
            let mut body = configuration(version, HOST, PREFIX, GROUP);
            limit_bodies(&mut body, max_body_bytes);
            store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        };
        publish(1, 100_000);
        let entry = start_entry(folder.path(), store.address(), "info");
        // There are no hosts.
        wait_until("the configuration is in force", async || {
            entry.status_of(ID, &large_job()).await == Some(503)
        })
        .await;
        publish(2, 512);
        wait_until("the limit is in force", async || {
            entry.status_of(ID, &large_job()).await == Some(413)
        })
        .await;
        assert_eq!(entry.status_of(ID, &job(1, 50)).await, Some(503));
    });
    run.expect("the runtime starts");
}
