//! Counts the connections of an agent to a target that fails, with a small listener as target.

mod platform_support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use model::HOSTS_PREFIX;
use platform_standins::StoreServer;
use platform_support::support::{call, wait_until};
use platform_support::{GROUP, free_address, start_agent, start_entry};
use serde_json::json;
use web::{Method, Request};

/// Time over which connections are counted.
const DURATION: Duration = Duration::from_secs(6);

/// Time from a target's report until it has to be in use.
const MAX_RETURN: Duration = Duration::from_millis(250);

/// Time from an agent's registration until an entry has to connect to it: well below the longest
/// pause.
const MAX_RECONNECT: Duration = Duration::from_millis(150);

/// Returns the connections that a target accepts.
fn accept_in_background(address: SocketAddr) -> Receiver<TcpStream> {
    let listener = TcpListener::bind(address).expect("a free address");
    let (accepted, connections) = mpsc::channel();
    std::thread::spawn(move || {
        let mut streams = listener.incoming().flatten();
        while streams
            .next()
            .is_some_and(|stream| accepted.send(stream).is_ok())
        {}
    });
    connections
}

fn report(born_unix_ms: u64) -> Request {
    let body = json!({
        "service": GROUP, "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "clockMs": 1, "sequence": 1,
        "capacity": {"cpu": 8_000, "memoryRequestMb": 65_536, "gpu": 0},
        "labels": ["a", "r1-1"], "born": born_unix_ms,
    });
    let mut request = Request::post_json("/instances/i-1", &body);
    request.method = Method::PUT;
    request
}

// An agent connected to a target as fast as the target refused or reset the connection: 95,134
// times in one day.
#[test]
fn a_target_that_resets_connections_gets_few_of_them() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let target = free_address();
        let connections = accept_in_background(target);
        let agent = start_agent(
            folder.path(),
            store.address(),
            target,
            free_address(),
            "info",
        );
        let until = Instant::now() + DURATION;
        let mut count = 0;
        while let Ok(stream) = connections.recv_timeout(until.duration_since(Instant::now())) {
            // The unread request makes the system reset the connection.
            drop(stream);
            count += 1;
        }
        drop(agent);
        assert!(
            (20..=45).contains(&count),
            "{count} connections in {DURATION:?}"
        );
    });
    run.expect("the runtime starts");
}

// A target that goes down and up again waited for the end of the pause that its absence caused.
#[test]
fn a_target_that_returns_is_polled_on_its_report() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let (target, reports) = (free_address(), free_address());
        let _agent = start_agent(folder.path(), store.address(), target, reports, "info");
        for life in 1..=4 {
            monoio::time::sleep(Duration::from_millis(700)).await;
            let listener = TcpListener::bind(target).expect("the target's address");
            let reported = Instant::now();
            let acknowledged = call(reports, &report(1_000 + life)).await;
            assert!(acknowledged.is_some_and(|response| response.status == 200));
            let poll = listener.accept();
            let took = reported.elapsed();
            assert!(took <= MAX_RETURN, "life {life}: polled after {took:?}");
            drop(poll);
        }
    });
    run.expect("the runtime starts");
}

// An entry waited up to 500 ms for the end of its pause although the store told that the agent was
// back.
#[test]
fn an_agent_that_registers_anew_is_connected_to_without_a_pause() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let address = free_address();
        let registration =
            json!({"name": "host", "address": address, "failure_domain": "a", "target": null});
        let register = || {
            let key = format!("{HOSTS_PREFIX}host");
            store.put(&key, registration.to_string().as_bytes());
        };
        register();
        let _entry = start_entry(folder.path(), store.address(), "info");
        for round in 1..=4 {
            monoio::time::sleep(Duration::from_millis(1_600)).await;
            let connections = accept_in_background(address);
            let registered = Instant::now();
            register();
            wait_until("the entry connects", async || {
                connections.try_recv().is_ok()
            })
            .await;
            let took = registered.elapsed();
            assert!(
                took <= MAX_RECONNECT,
                "round {round}: connected after {took:?}"
            );
        }
    });
    run.expect("the runtime starts");
}
