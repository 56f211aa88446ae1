//! Evacuates the failure domain of a host on the users' platform.

mod platform_support;

use std::cell::Cell;
use std::path::Path;
use std::time::{Duration, Instant};

use platform_standins::{
    CONFIGURATION_KEY, SharedLedger, StoreServer, configuration, evacuation_key, job,
};
use platform_support::support::{Process, call, wait_until};
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, line_of, restart_agent, start_agent_with,
    start_entry_with, start_target,
};
use web::{Method, Request};

const BOUND: &str = "evacuation_bound_ms = 5000\n";

const EVACUATED: &str = "\"event\":\"evacuations\"";

/// An entry, a host, and a store that serves each of the two processes on a port of its own.
struct System {
    entry_store: StoreServer,
    agent_store: StoreServer,
    entry: Entry,
    agent: Process,
    ledger: SharedLedger,
    last_job: Cell<u64>,
}

impl System {
    /// Starts the processes and waits until a job has been served.
    async fn start(folder: &Path, more_settings: &str) -> Self {
        let entry_store = StoreServer::start().expect("a store");
        let agent_store = entry_store.start_second().expect("a second port");
        let published = configuration(7, HOST, PREFIX, GROUP);
        entry_store.put(CONFIGURATION_KEY, published.to_string().as_bytes());
        let reports_address = free_address();
        let ledger = SharedLedger::default();
        let target = start_target(reports_address, &ledger);
        let entry = start_entry_with(folder, entry_store.address(), "info", more_settings);
        let agent = start_agent_with(
            folder,
            agent_store.address(),
            target.address(),
            reports_address,
            "info",
            more_settings,
        );
        let system = Self {
            entry_store,
            agent_store,
            entry,
            agent,
            ledger,
            last_job: Cell::new(0),
        };
        system.wait_until_served(200).await;
        system
    }

    fn evacuate(&self) {
        self.entry_store.put(&evacuation_key("domain"), b"{}");
    }

    fn end_evacuation(&self) {
        self.entry_store.delete(&evacuation_key("domain"));
    }

    async fn wait_until_served(&self, status: u16) {
        wait_until("a job is answered with the status", async || {
            let id = self.new_id();
            self.entry.status_of(&id, &job(2, 20)).await == Some(status)
        })
        .await;
    }

    fn new_id(&self) -> String {
        self.last_job.set(self.last_job.get() + 1);
        format!("{:016x}", self.last_job.get())
    }

    /// Checks that a job is refused with a time after which to retry, and starts nothing.
    async fn assert_refused(&self) {
        let starts = self.ledger.borrow().starts;
        let response = self.entry.submit(&self.new_id(), &job(2, 20)).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 503);
        let retry_after = response.headers.get("retry-after");
        assert!(retry_after.is_some(), "{:?}", response.headers);
        // No other entry could serve the caller either.
        assert_eq!(response.headers.get("connection"), None);
        assert_eq!(self.ledger.borrow().starts, starts);
    }
}

// Nothing obeyed the operator: 12,400 tasks started after the bound in one day. The balancer must go
// on sending callers to an entry whose hosts are all evacuated, so that they are told when to retry.
#[test]
fn requests_are_refused_during_an_evacuation_and_served_after_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let mut system = System::start(folder.path(), BOUND).await;
        for _ in 0..2 {
            system.evacuate();
            system.wait_until_served(503).await;
            system.assert_refused().await;
            let check = Request::new(Method::GET, "/");
            let ready = call(system.entry.readiness, &check).await;
            assert_eq!(ready.map(|response| response.status), Some(200));
            system.end_evacuation();
            system.wait_until_served(200).await;
        }
        let line = line_of(&mut system.agent, EVACUATED).await;
        assert!(line.contains("\"begun\":\"domain\""), "{line}");
    });
    run.expect("the runtime starts");
}

// An agent that the store refuses, also one that has just started, went on starting tasks.
#[test]
fn an_agent_that_the_store_refuses_learns_from_an_entry() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let mut system = System::start(folder.path(), BOUND).await;
        system.agent_store.set_refusing(true);
        system.evacuate();
        let line = line_of(&mut system.agent, EVACUATED).await;
        assert!(!line.contains("\"source\":\"store\""), "{line}");
        system.agent.kill();
        system.agent = restart_agent(folder.path());
        let line = line_of(&mut system.agent, EVACUATED).await;
        assert!(!line.contains("\"source\":\"store\""), "{line}");
        system.assert_refused().await;
        system.end_evacuation();
        system.wait_until_served(200).await;
    });
    run.expect("the runtime starts");
}

// An entry that the store refuses before, during and after the acknowledgement placed tasks there.
#[test]
fn an_entry_that_the_store_refuses_learns_from_an_agent() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let mut system = System::start(folder.path(), BOUND).await;
        system.entry_store.set_refusing(true);
        system.evacuate();
        let line = line_of(&mut system.entry.process, EVACUATED).await;
        assert!(!line.contains("\"source\":\"store\""), "{line}");
        system.assert_refused().await;
        system.end_evacuation();
        system.wait_until_served(200).await;
    });
    run.expect("the runtime starts");
}

// All agents of a fleet called a store that refuses them twice a second, and in step.
#[test]
fn an_agent_calls_a_store_that_refuses_it_less_and_less_often() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let system = System::start(folder.path(), BOUND).await;
        let listings = || system.agent_store.read_count(&evacuation_key(""));
        wait_until("the keys are listed", async || listings() > 0).await;
        system.agent_store.set_refusing(true);
        let before = listings();
        wait_until("the first listing is refused", async || listings() > before).await;
        let refused_at = Instant::now();
        wait_until("three more are refused", async || listings() >= before + 4).await;
        // At least 0.5, 1 and 2 s less a fifth for jitter; 1.5 s if the pauses do not grow.
        assert!(refused_at.elapsed() >= Duration::from_millis(2_800));
    });
    run.expect("the runtime starts");
}

// A watch whose history the store has discarded never reported the key.
#[test]
fn processes_list_the_keys_again_when_the_history_is_lost() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let mut system = System::start(folder.path(), BOUND).await;
        system.entry_store.set_refusing(true);
        system.agent_store.set_refusing(true);
        system.evacuate();
        system.entry_store.compact();
        system.entry_store.set_refusing(false);
        let line = line_of(&mut system.entry.process, EVACUATED).await;
        assert!(line.contains("\"source\":\"store\""), "{line}");
        system.wait_until_served(503).await;
    });
    run.expect("the runtime starts");
}

// Earlier deployments have no bound in their settings and must be served as before.
#[test]
fn without_a_bound_the_keys_have_no_effect() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let mut system = System::start(folder.path(), "").await;
        system.evacuate();
        let published = configuration(8, HOST, PREFIX, GROUP);
        let body = published.to_string();
        system.entry_store.put(CONFIGURATION_KEY, body.as_bytes());
        // The entry has seen a later change of the store by then.
        line_of(&mut system.entry.process, "\"version\":8").await;
        let served = system.entry.status_of(&system.new_id(), &job(2, 20)).await;
        assert_eq!(served, Some(200));
    });
    run.expect("the runtime starts");
}
