//! Passes state on between entries and agents of the users' platform while the store refuses some.

mod platform_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use platform_standins::{
    CONFIGURATION_KEY, SharedLedger, StoreServer, TargetServer, configuration, evacuation_key, job,
};
use platform_support::support::{Process, wait_until};
use platform_support::{
    Entry, GROUP, HOST, PREFIX, free_address, seeds_setting, start_agent_with, start_entry_at,
    start_target,
};
use serde_json::{Value, json};
use tempfile::TempDir;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A store that serves some processes, and a target.
struct Site {
    folder: TempDir,
    store: StoreServer,
    target: TargetServer,
    reports: SocketAddr,
    job_count: u64,
}

impl Site {
    fn start() -> Self {
        let store = StoreServer::start().expect("a store");
        publish(&store, 1, PREFIX);
        let reports = free_address();
        Self {
            folder: tempfile::tempdir().expect("a folder"),
            store,
            target: start_target(reports, &SharedLedger::default()),
            reports,
            job_count: 0,
        }
    }

    fn entry(&self, store: SocketAddr, seeds: &[SocketAddr]) -> Entry {
        self.entry_at(store, free_address(), seeds)
    }

    fn entry_at(&self, store: SocketAddr, peers: SocketAddr, seeds: &[SocketAddr]) -> Entry {
        let more = seeds_setting(seeds);
        start_entry_at(self.folder.path(), store, peers, "debug", &more)
    }

    fn agent(&self, store: SocketAddr, seeds: &[SocketAddr]) -> Process {
        let (folder, target) = (self.folder.path(), self.target.address());
        let more = seeds_setting(seeds);
        start_agent_with(folder, store, target, self.reports, "debug", &more)
    }

    /// Starts a seed and an agent, both of which the store serves, and waits until they work.
    async fn start_seed(&mut self) -> (Entry, Process) {
        let seed = self.entry(self.store.address(), &[free_address()]);
        let agent = self.agent(self.store.address(), &[]);
        self.wait_until_serving(&seed).await;
        (seed, agent)
    }

    async fn submit(&mut self, entry: &Entry) -> Option<u16> {
        self.job_count += 1;
        let id = format!("{:016x}", self.job_count);
        entry.status_of(&id, &job(1, 20)).await
    }

    async fn wait_until_serving(&mut self, entry: &Entry) {
        wait_until("a job is served", async || {
            self.submit(entry).await == Some(200)
        })
        .await;
    }
}

fn publish(store: &StoreServer, version: u64, prefix: &str) {
    let body = configuration(version, HOST, prefix, GROUP);
    store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
}

/// Returns the address of a store that refuses every connection.
fn refusing_store() -> SocketAddr {
    free_address()
}

/// Returns a store that accepts calls and answers none.
fn silent_store() -> StoreServer {
    let store = StoreServer::start().expect("a store");
    store.faults().is_silent.set(true);
    store
}

// Entries that the store refused after a loss of power answered 503 until it served them again.
#[test]
fn an_entry_that_the_store_refuses_serves_its_first_request_with_the_state_of_a_seed() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (seed, _agent) = site.start_seed().await;
        let silent = silent_store();
        for store in [refusing_store(), silent.address()] {
            let refused = site.entry(store, &[seed.peer_address]);
            assert_eq!(site.submit(&refused).await, Some(200));
        }
    });
    run.expect("the runtime starts");
}

#[test]
fn an_entry_that_restarts_while_all_seeds_are_down_learns_the_state_from_agents() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let seeds = [free_address()];
        let other = site.entry(site.store.address(), &seeds);
        let mut first = site.entry(site.store.address(), &seeds);
        let _agent = site.agent(site.store.address(), &seeds);
        site.wait_until_serving(&other).await;
        site.wait_until_serving(&first).await;
        first.process.kill();
        let restarted = site.entry_at(refusing_store(), first.peer_address, &seeds);
        site.wait_until_serving(&restarted).await;
    });
    run.expect("the runtime starts");
}

// The case of the specification: the store refuses two of three seeds, an entry and an agent whose
// key it has dropped, and all machines lose power. The refused entries answered 503 for two seconds.
// The refused seeds learn of the entry that the store serves by its introduction.
#[test]
fn refused_machines_serve_right_after_a_loss_of_power() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let seeds = [free_address(), free_address(), free_address()];
        for _ in 0..2 {
            let mut refused: Vec<Entry> = Vec::new();
            for seed in &seeds[1..] {
                refused.push(site.entry_at(refusing_store(), *seed, &seeds));
            }
            refused.push(site.entry(refusing_store(), &seeds));
            let _agent = site.agent(refusing_store(), &seeds);
            let served = site.entry_at(site.store.address(), seeds[0], &seeds);
            for entry in refused.iter().chain([&served]) {
                site.wait_until_serving(entry).await;
            }
            // Dropping the processes kills them.
        }
    });
    run.expect("the runtime starts");
}

// An agent that could not register was used by no entry.
#[test]
fn a_host_whose_agent_the_store_refuses_is_in_use_at_a_seed_and_at_other_entries() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let seeds = [free_address(), free_address()];
        let seed = site.entry_at(site.store.address(), seeds[0], &seeds);
        let other = site.entry(site.store.address(), &seeds);
        let _agent = site.agent(refusing_store(), &seeds);
        site.wait_until_serving(&seed).await;
        site.wait_until_serving(&other).await;
        assert!(site.store.keys("shallotcross/hosts/").is_empty());
    });
    run.expect("the runtime starts");
}

// The first description of a host held until the host was forgotten.
#[test]
fn a_registration_replaces_the_failure_domain_that_was_known_before() {
    let run = runtime::run(async {
        let site = Site::start();
        let seed = free_address();
        let mut entry = site.entry_at(site.store.address(), seed, &[seed]);
        let _agent = site.agent(refusing_store(), &[seed]);
        let mut known = None;
        wait_until("the host is announced", async || {
            known = entry.process.find_line("\"event\":\"host_known\"");
            known.is_some()
        })
        .await;
        let known: Value = serde_json::from_str(&known.unwrap_or_default()).expect("a line");
        assert_eq!(known["failure_domain"], "domain");
        let registration = json!({"name": "host", "address": known["address"],
            "failure_domain": "moved", "target": null});
        let key = "shallotcross/hosts/host";
        site.store.put(key, registration.to_string().as_bytes());
        let mut changed = None;
        wait_until("the failure domain is replaced", async || {
            changed = entry.process.find_line("\"event\":\"host_changed\"");
            changed.is_some()
        })
        .await;
        let changed: Value = serde_json::from_str(&changed.unwrap_or_default()).expect("a line");
        assert_eq!(changed["failure_domain"], "moved");
        assert_eq!(changed["source"], "store");
    });
    run.expect("the runtime starts");
}

// Versions decide, not the order of arrival: the peer reads the older configuration from its store and
// tells the entry its revision, and then takes the entry's newer one.
#[test]
fn a_removed_queue_does_not_return_from_a_peer_with_an_older_configuration() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let seed_address = free_address();
        let newer = StoreServer::start().expect("a store");
        publish(&newer, 1, PREFIX);
        let entry = site.entry(newer.address(), &[seed_address]);
        publish(&newer, 2, "/other/");
        wait_until("the queue is removed", async || {
            site.submit(&entry).await == Some(404)
        })
        .await;
        newer.faults().is_busy.set(true);
        let stale = site.entry_at(site.store.address(), seed_address, &[entry.peer_address]);
        wait_until("the peer takes the newer configuration", async || {
            site.submit(&stale).await == Some(404)
        })
        .await;
        assert_eq!(site.submit(&stale).await, Some(404));
        assert_eq!(site.submit(&entry).await, Some(404));
    });
    run.expect("the runtime starts");
}

// A seed may be a machine that accepts connections and says nothing, or another program.
#[test]
fn seeds_that_hang_close_or_send_garbage_do_not_delay_the_others() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (seed, _agent) = site.start_seed().await;
        let hanging = TcpListener::bind("127.0.0.1:0").expect("a port");
        let garbage = TcpListener::bind("127.0.0.1:0").expect("a port");
        let closing = TcpListener::bind("127.0.0.1:0").expect("a port");
        let seeds = [
            hanging.local_addr().expect("an address"),
            garbage.local_addr().expect("an address"),
            closing.local_addr().expect("an address"),
            seed.peer_address,
        ];
        std::thread::spawn(move || send_garbage(&garbage));
        std::thread::spawn(move || closing.incoming().for_each(drop));
        let refused = site.entry(refusing_store(), &seeds);
        assert_eq!(site.submit(&refused).await, Some(200));
    });
    run.expect("the runtime starts");
}

/// Accepts the hello of every connection and answers the first call with bytes that are no message.
fn send_garbage(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let mut hello = [0; 32];
        // A peer that gave up has closed the connection.
        let _ = stream.read_exact(&mut hello);
        let mut reply = hello;
        reply[12..16].fill(0);
        reply[24..].fill(0);
        let _ = stream.write_all(&reply);
        let _ = stream.write_all(&[0, 0, 0, 4, 255, 255, 255, 255]);
    }
}

// The platform tells targets the seeds' addresses too; they may send their reports there.
#[test]
fn http_calls_at_the_bootstrap_port_are_closed_and_do_no_harm() {
    let run = runtime::run(async {
        let mut site = Site::start();
        let (seed, _agent) = site.start_seed().await;
        for _ in 0..20 {
            assert!(put_report(seed.peer_address).is_empty());
        }
        let refused = site.entry(refusing_store(), &[seed.peer_address]);
        assert_eq!(site.submit(&refused).await, Some(200));
    });
    run.expect("the runtime starts");
}

// An entry that the store refuses placed tasks in an evacuated failure domain.
#[test]
fn a_refused_entry_learns_evacuations_from_a_seed() {
    let run = runtime::run(async {
        let site = Site::start();
        site.store.put(&evacuation_key("domain"), b"{}");
        let start = |store, seed| {
            let more = format!("evacuation_bound_ms = 5000\n{}", seeds_setting(&[seed]));
            start_entry_at(site.folder.path(), store, free_address(), "info", &more)
        };
        let mut seed = start(site.store.address(), free_address());
        wait_until("the seed knows the evacuation", async || {
            let line = seed.process.find_line("\"event\":\"evacuations\"");
            line.is_some()
        })
        .await;
        let mut refused = start(refusing_store(), seed.peer_address);
        let line = refused.process.wait_for_line("\"event\":\"evacuations\"");
        assert!(line.contains(&seed.peer_address.to_string()), "{line}");
    });
    run.expect("the runtime starts");
}

/// Sends a target's report and returns the bytes that come back until the connection closes.
fn put_report(address: SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port accepts");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a timeout");
    let head = "PUT /instances/i-0 HTTP/1.1\r\nhost: entry\r\ncontent-length: 2\r\n\r\n{}";
    // The entry may close before it has read everything.
    let _ = stream.write_all(head.as_bytes());
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let is_timeout = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
    assert!(!ended.is_err_and(|error| is_timeout(&error)), "not closed");
    answer
}
