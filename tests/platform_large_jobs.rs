//! Jobs with more tasks than an entry takes.

mod platform_support;

use platform_standins::{CONFIGURATION_KEY, StoreServer, configuration, job};
use platform_support::support::wait_until;
use platform_support::{GROUP, HOST, PREFIX, start_entry};
use serde_json::{Value, json};

const ID: &str = "5c0e7a21d94b36f8";

/// Memory that an entry may use, in kilobytes: a quarter of what the smallest machines have.
const MAX_MEMORY_KB: u64 = 64 * 1_024;

/// Returns the largest amount of memory that a process has used, in kilobytes.
fn peak_memory_kb(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = std::fs::read_to_string(path).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let amount = line.and_then(|line| line.split_whitespace().next());
    let amount = amount.and_then(|amount| amount.parse().ok());
    amount.expect("an amount in kilobytes")
}

// A job of 4 KB with millions of tasks took more memory than the machine has, at each entry that read it.
#[test]
fn a_job_of_millions_of_tasks_is_refused_without_a_record_of_each() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let body = configuration(1, HOST, PREFIX, GROUP);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        let entry = start_entry(folder.path(), store.address(), "info");
        wait_until("the configuration is in force", async || {
            entry.queue_status(PREFIX).await == Some(200)
        })
        .await;
        let mut large = job(1, 50);
        let step = json!({"count": 60_000, "cpu": 1, "memoryRequestMb": 1, "estimatedMs": 50});
        large["steps"] = Value::from(vec![step; 60]);
        assert_eq!(entry.status_of(ID, &large).await, Some(503));
        let peak_kb = peak_memory_kb(entry.process.id());
        assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} KB");
    });
    run.expect("the runtime starts");
}
