//! Checks the log lines about a request and the fields of each line.

mod platform_support;

use std::collections::BTreeSet;

use platform_standins::{CONFIGURATION_KEY, SharedLedger, StoreServer, configuration, job};
use platform_support::support::{Process, wait_until};
use platform_support::{GROUP, HOST, PREFIX, free_address, start_agent, start_entry, start_target};
use serde_json::Value;

/// Fields that every line must have.
const COMMON_FIELDS: [&str; 5] = ["time", "level", "part", "event", "message"];

/// Waits for a log line of an event and checks that it has the given fields.
fn assert_line(process: &mut Process, event: &str, fields: &[&str]) {
    let text = process.wait_for_line(&format!("\"event\":\"{event}\""));
    let line: Value = serde_json::from_str(&text).expect("one JSON value a line");
    let line = line.as_object().expect("an object");
    let names: BTreeSet<&str> = line.keys().map(String::as_str).collect();
    for field in COMMON_FIELDS.iter().chain(fields) {
        assert!(names.contains(field), "{event}: no {field} in {text}");
    }
}

#[test]
fn every_line_has_the_inputs_of_its_decision() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let published = configuration(7, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, published.to_string().as_bytes());
        let reports_address = free_address();
        let target = start_target(reports_address, &SharedLedger::default());
        let mut entry = start_entry(folder.path(), store.address(), "debug");
        let (store_address, target_address) = (store.address(), target.address());
        let mut agent = start_agent(
            folder.path(),
            store_address,
            target_address,
            reports_address,
            "debug",
        );
        let mut number = 0;
        wait_until("a job is served", async || {
            number += 1;
            let id = format!("{number:016x}");
            entry.status_of(&id, &job(2, 20)).await == Some(200)
        })
        .await;
        assert_eq!(
            entry.status_of("00000000000000ff", &job(2, 60_000)).await,
            Some(503)
        );
        check_entry(&mut entry.process);
        check_agent(&mut agent);
        agent.signal("TERM");
        assert_line(&mut agent, "stopped", &["is_complete"]);
        assert_line(&mut entry.process, "link_down", &["address", "reason"]);
        entry.process.signal("TERM");
        assert_line(&mut entry.process, "draining", &["jobs"]);
        assert_line(&mut entry.process, "stopped", &["is_complete", "jobs"]);
    });
    run.expect("the runtime starts");
}

fn check_entry(entry: &mut Process) {
    assert_line(entry, "started", &["entry", "host", "failure_domain"]);
    let fields = ["version", "revision", "routes", "source"];
    assert_line(entry, "configuration", &fields);
    assert_line(entry, "host_known", &["host", "address", "failure_domain"]);
    assert_line(entry, "link_up", &["address", "agent"]);
    let decided = [
        "id",
        "request",
        "queue",
        "hosts",
        "oldest_view_ms",
        "expected_ms",
        "objective_ms",
        "time_left_ms",
        "configuration_version",
    ];
    assert_line(entry, "admitted", &decided);
    let task = ["id", "step", "task", "attempt", "host"];
    assert_line(entry, "placed", &task);
    assert_line(entry, "placed", &["view_age_ms", "expected_wait_ms"]);
    assert_line(entry, "run", &task);
    assert_line(entry, "run", &["age_ms", "outcome"]);
    let answered = ["id", "request", "outcome", "reason", "is_late", "took_ms"];
    assert_line(entry, "answered", &answered);
    let refused = entry.wait_for_line("\"id\":\"00000000000000ff\"");
    assert!(refused.contains("\"refused\""), "{refused}");
    assert!(
        refused.contains("\"request\":\"request-00000000000000ff\""),
        "{refused}"
    );
    assert_line(entry, "refused", &["reason"]);
}

fn check_agent(agent: &mut Process) {
    assert_line(agent, "started", &["agent", "host", "failure_domain"]);
    let target = ["instance", "born_unix_ms", "sequence", "is_draining"];
    assert_line(agent, "target", &target);
    assert_line(agent, "target", &["leaves_in_ms", "cpu_millis"]);
    assert_line(agent, "registered", &["key"]);
}
