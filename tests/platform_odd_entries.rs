//! Odd entries of other writers among the registrations of hosts.

mod platform_support;

use model::HOSTS_PREFIX;
use platform_standins::{CONFIGURATION_KEY, SharedLedger, StoreServer, configuration, job};
use platform_support::support::wait_until;
use platform_support::{
    GROUP, HOST, PREFIX, free_address, line_of, start_agent, start_entry, start_target,
};

const ID: &str = "5c0e7a21d94b36f8";

/// Returns values that name no host to use.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let of = |address: &str, more: &str| {
        format!(r#"{{"name": "odd", "address": {address}, "failure_domain": "a"{more}}}"#)
            .into_bytes()
    };
    let target = |cpu: &str| {
        format!(
            r#", "target": {{"instance": "i-1", "born_unix_ms": 1, "sequence": 1, "group": "pool",
                "labels": [], "is_draining": false,
                "capacity": {{"cpu_millis": {cpu}, "memory_mib": 1, "gpus": 0}}}}"#
        )
    };
    vec![
        nested.clone().into_bytes(),
        of(&nested, ""),
        of("\"10.0.0.1:99999\"", ""),
        of("\"10.0.0.1:0\"", ""),
        of("\"10.0.0.1:-1\"", ""),
        of("\"host:7720\"", ""),
        of("7720", ""),
        of("\"10.0.0.1:7720\"", &target("1e400")),
        of("\"10.0.0.1:7720\"", &target("99999999999999999999")),
        of("\"10.0.0.1:7720\"", &target("-1")),
        b"\xff\xfe\x00".to_vec(),
        Vec::new(),
    ]
}

// A port out of range was taken for a host that is not reachable at the moment.
#[test]
fn odd_registrations_are_ignored_and_the_others_are_followed() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let body = configuration(1, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        let put_odd = |prefix: &str| {
            for (number, value) in odd_values().iter().enumerate() {
                store.put(&format!("{HOSTS_PREFIX}{prefix}-{number}"), value);
            }
        };
        put_odd("before");
        let mut entry = start_entry(folder.path(), store.address(), "info");
        line_of(&mut entry.process, "bad_registration").await;
        put_odd("after");
        let ledger = SharedLedger::default();
        let reports = free_address();
        let target = start_target(reports, &ledger);
        let agent = start_agent(
            folder.path(),
            store.address(),
            target.address(),
            reports,
            "info",
        );
        wait_until("a job is served", async || {
            entry.status_of(ID, &job(1, 1)).await == Some(200)
        })
        .await;
        assert_eq!(entry.process.find_line("\"host\":\"odd\""), None);
        drop(agent);
    });
    run.expect("the runtime starts");
}
