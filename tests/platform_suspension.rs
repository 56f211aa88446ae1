//! Suspends an entry on the users' platform and resumes it.

mod platform_support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use platform_standins::{CONFIGURATION_KEY, StoreServer, configuration, job, limit_bodies};
use platform_support::support::wait_until;
use platform_support::{GROUP, HOST, PREFIX, start_entry};
use serde_json::Value;

const ID: &str = "5c0e7a21d94b36f8";

/// Limit of the configuration by which the test sees that it is in force.
const MAX_BODY_BYTES: usize = 512;

/// Duration of a suspension: above the gap from which on an entry abandons its jobs.
const SUSPENSION: Duration = Duration::from_millis(700);

const SUSPENSIONS: usize = 3;

/// Health checks that arrive during a suspension.
const HEALTH_CHECKS: usize = 8;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn send_health_check(address: SocketAddr) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a timeout");
    let request = b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(request).expect("the request is sent");
    BufReader::new(stream)
}

fn status_line(mut response: BufReader<TcpStream>) -> String {
    let mut line = String::new();
    response.read_line(&mut line).expect("a response");
    line
}

// A health check was the first to read the clock after a suspension, while the scheduler was
// borrowed for its answer: the process ended with a panic.
#[test]
fn health_checks_that_arrive_during_a_suspension_are_answered() {
    let folder = tempfile::tempdir().expect("a folder");
    let run = runtime::run(async {
        let store = StoreServer::start().expect("a store");
        let mut body = configuration(1, HOST, PREFIX, GROUP);
        limit_bodies(&mut body, MAX_BODY_BYTES);
        store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        let entry = start_entry(folder.path(), store.address(), "info");
        let mut too_large = job(1, 50);
        too_large["specification"] = Value::from("x".repeat(MAX_BODY_BYTES));
        wait_until("the configuration is in force", async || {
            entry.status_of(ID, &too_large).await == Some(413)
        })
        .await;
        for _ in 0..SUSPENSIONS {
            entry.process.signal("STOP");
            let checks: Vec<_> = (0..HEALTH_CHECKS)
                .map(|_| send_health_check(entry.readiness))
                .collect();
            std::thread::sleep(SUSPENSION);
            entry.process.signal("CONT");
            for check in checks {
                let line = status_line(check);
                assert!(line.starts_with("HTTP/1.1 503"), "{line}");
            }
        }
    });
    run.expect("the runtime starts");
}
