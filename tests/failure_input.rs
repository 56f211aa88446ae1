//! Sends garbage and oversized input, and opens slow and too many connections, on each port.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::json;
use support::{Load, Outcome, Relay, System, VEMBANAD, call, named_job, wait_until};
use web::{Client, Method, Request};

/// Number of connections per port that send one byte of a request only.
const SLOW_CONNECTIONS: usize = 40;

const MAX_CONNECTIONS: usize = 16;

/// Timeout of the answer to raw bytes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the handshake of a connection between processes: magic, protocol version, service,
/// sender, and receiver 0, which matches any process.
fn hello(service: u32) -> Vec<u8> {
    let mut bytes = b"shlcross".to_vec();
    bytes.extend(1_u32.to_be_bytes());
    bytes.extend(service.to_be_bytes());
    bytes.extend(7_u64.to_be_bytes());
    bytes.extend(0_u64.to_be_bytes());
    bytes
}

/// Returns pseudorandom bytes, the same in every run.
fn pseudorandom_bytes(count: usize) -> Vec<u8> {
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    let next = |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..count).map(next).collect()
}

fn concat(mut start: Vec<u8>, rest: &[u8]) -> Vec<u8> {
    start.extend(rest);
    start
}

/// Sends bytes and returns the bytes received until the connection closes or times out.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port accepts");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a time");
    stream
        .set_write_timeout(Some(ANSWER_TIMEOUT))
        .expect("a time");
    // The process may close before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Returns the four ports of a system of one entry and one agent.
fn ports(system: &System) -> [SocketAddr; 4] {
    let (entry, host) = (&system.entries[0], &system.hosts[0]);
    [
        entry.callers_address,
        entry.peer_address,
        host.announce_address,
        host.bound_peer_address,
    ]
}

async fn start() -> System {
    let mut system = System::new();
    system.add_entry();
    system.add_host(VEMBANAD);
    system.wait_until_served(VEMBANAD, 1).await;
    system
}

/// Checks that a job completes and that both processes are still running.
async fn check_service(system: &mut System, load: &Load, id: &str) {
    let job = named_job(VEMBANAD, id, &[5, 5, 5], 10_000);
    let address = system.entries[0].callers_address;
    let outcome = load.submit(address, VEMBANAD, id, &job).await;
    assert_eq!(outcome, Outcome::Complete, "{id}");
    let entry = system.entries[0].process.child.try_wait();
    let agent = system.hosts[0].agent.child.try_wait();
    assert_eq!(
        (entry.expect("a child"), agent.expect("a child")),
        (None, None)
    );
}

#[test]
fn garbage_on_any_port_does_not_interrupt_service() {
    let run = runtime::run(async {
        let mut system = start().await;
        let load = Load::default();
        let huge_frame = [u32::MAX.to_be_bytes().to_vec(), pseudorandom_bytes(4_096)].concat();
        let samples = [
            Vec::new(),
            vec![0; 1_024],
            pseudorandom_bytes(64 * 1_024),
            b"PUT /v1/jobs/x HTTP/1.1\r\ncontent-length: -1\r\n\r\n".to_vec(),
            concat(b"GET / HTTP/9.9\r\n".to_vec(), &pseudorandom_bytes(512)),
            hello(9),
            concat(hello(1), &pseudorandom_bytes(4_096)),
            concat(hello(2), &pseudorandom_bytes(4_096)),
            concat(hello(1), &huge_frame),
            concat(hello(2), &huge_frame),
        ];
        for (number, sample) in samples.iter().enumerate() {
            for port in ports(&system) {
                exchange(port, sample);
            }
            check_service(&mut system, &load, &format!("after-{number}")).await;
        }
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

#[test]
fn oversized_requests_are_rejected() {
    let run = runtime::run(async {
        let mut system = start().await;
        let load = Load::default();
        let body = "content-length: 1000000000\r\n\r\n{";
        let header = format!("x: {}\r\n\r\n", "y".repeat(1_000_000));
        let [callers, _, announce, _] = ports(&system);
        for (address, line) in [
            (callers, "PUT /v1/jobs/x HTTP/1.1\r\n"),
            (announce, "POST /v1/announce HTTP/1.1\r\n"),
        ] {
            for rest in [body, &header] {
                let answer = exchange(address, format!("{line}{rest}").as_bytes());
                let answer = String::from_utf8_lossy(&answer).into_owned();
                assert!(answer.starts_with("HTTP/1.1 413"), "{line}: {answer}");
            }
        }
        check_service(&mut system, &load, "after").await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

#[test]
fn slow_clients_do_not_delay_other_jobs() {
    let run = runtime::run(async {
        let mut system = start().await;
        let load = Load::default();
        let mut held = Vec::new();
        for port in ports(&system) {
            for _ in 0..SLOW_CONNECTIONS {
                let mut stream = TcpStream::connect(port).expect("the port accepts");
                stream.write_all(b"s").expect("one byte goes out");
                held.push(stream);
            }
        }
        for number in 0..20 {
            check_service(&mut system, &load, &format!("beside-{number}")).await;
        }
        drop(held);
        check_service(&mut system, &load, "after").await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

#[test]
fn open_connections_are_served_while_new_ones_are_refused() {
    let run = runtime::run(async {
        let mut system = start().await;
        let load = Load::default();
        let limits = format!("[limits]\nmax_connections = {MAX_CONNECTIONS}\n");
        let entry = system.spawn_entry_with(None::<Relay>, &limits);
        let ready = Request::new(Method::GET, "/healthz");
        let early = Client::new(entry.callers_address, 1);
        let answer = early.call(&ready, ANSWER_TIMEOUT).await;
        assert_eq!(answer.expect("an answer").status, 200);
        let held: Vec<TcpStream> = (0..3 * MAX_CONNECTIONS)
            .filter_map(|_| TcpStream::connect(entry.callers_address).ok())
            .collect();
        wait_until("a new connection is refused", async || {
            let answer = call(entry.callers_address, &ready).await;
            answer.is_none_or(|response| response.status == 503)
        })
        .await;
        let answer = early.call(&ready, ANSWER_TIMEOUT).await;
        assert_eq!(answer.expect("an answer").status, 200);
        drop(held);
        wait_until("connections are accepted again", async || {
            let answer = call(entry.callers_address, &ready).await;
            answer.is_some_and(|response| response.status == 200)
        })
        .await;

        let host = &system.hosts[0];
        let announce: Vec<TcpStream> = (0..200)
            .filter_map(|_| TcpStream::connect(host.announce_address).ok())
            .collect();
        check_service(&mut system, &load, "crowded").await;
        drop(announce);
        let bad = Request::post_json("/v1/announce", &json!({}));
        let announce = system.hosts[0].announce_address;
        wait_until("announcements are read again", async || {
            let answer = call(announce, &bad).await;
            answer.is_some_and(|response| response.status == 400)
        })
        .await;
        load.check(&system).await;
    });
    run.expect("the runtime starts");
}

/// Returns how many malformed requests a process has counted.
async fn malformed_count(address: SocketAddr) -> u64 {
    let request = support::with_token(
        Request::new(Method::GET, "/metrics"),
        support::OPERATORS_TOKEN,
    );
    let response = call(address, &request).await.expect("the port answers");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text
        .lines()
        .find(|line| line.contains("_web_events_total{event=\"malformed\"}"));
    let count = line.and_then(|line| line.rsplit(' ').next());
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

#[test]
fn malformed_requests_are_counted() {
    let run = runtime::run(async {
        let system = start().await;
        for address in [
            system.entries[0].callers_address,
            system.hosts[0].announce_address,
        ] {
            let before = malformed_count(address).await;
            exchange(address, b"no request at all\r\n\r\n");
            assert_eq!(malformed_count(address).await, before + 1);
        }
    });
    run.expect("the runtime starts");
}
