//! Connections of callers to an entry of the users' platform that cannot serve them.

mod platform_support;

use platform_standins::{CONFIGURATION_KEY, SharedLedger, StoreServer, configuration, job};
use platform_support::support::wait_until;
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, start_agent, start_entry, start_target,
};

/// Submits a job; returns the status of the answer, and whether it closes the connection.
async fn submit(entry: &Entry, id: u64) -> (u16, bool) {
    let response = entry.submit(&format!("{id:016x}"), &job(2, 20)).await;
    let response = response.expect("a response");
    let connection = response.headers.get("connection");
    let is_closed = connection.is_some_and(|value| value.as_bytes() == b"close");
    (response.status, is_closed)
}

// Three entries that were cut off from all hosts refused 704 jobs of callers on open connections in five
// seconds, while the balancer sent only new connections to the entries beside them.
#[test]
fn an_entry_without_hosts_closes_the_connections_of_callers_that_it_refuses() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let published = configuration(1, HOST, PREFIX, GROUP).to_string();
        store.put(CONFIGURATION_KEY, published.as_bytes());
        let reports_address = free_address();
        let target = start_target(reports_address, &SharedLedger::default());
        let entry = start_entry(folder.path(), store.address(), "info");
        assert_eq!(submit(&entry, 1).await, (503, true));
        let mut agent = start_agent(
            folder.path(),
            store.address(),
            target.address(),
            reports_address,
            "info",
        );
        let mut id = 1;
        wait_until("a job is served", async || {
            id += 1;
            submit(&entry, id).await == (200, false)
        })
        .await;
        agent.kill();
        wait_until("jobs are refused", async || {
            id += 1;
            submit(&entry, id).await == (503, true)
        })
        .await;
    });
    run.expect("the runtime starts");
}
