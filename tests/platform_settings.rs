//! An entry on the users' platform whose settings and limits change while it runs.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

use platform_standins::{CONFIGURATION_KEY, StoreServer, configuration, job, limit_bodies};
use serde_json::Value;
use support::{Process, call, wait_until};
use web::{HeaderValue, Method, Request};

const HOST: &str = "callers.example";

struct Entry {
    process: Process,
    callers: SocketAddr,
    settings: std::path::PathBuf,
    text: String,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    listener.local_addr().expect("an address")
}

fn start_entry(folder: &Path, store: SocketAddr) -> Entry {
    let callers = free_address();
    let text = format!(
        "name = \"entry\"\nfailure_domain = \"domain\"\ncallers_address = \"{callers}\"\n\
         readiness_address = \"{}\"\npeer_address = \"{}\"\nstore_address = \"{store}\"\n\
         log = {{ format = \"json\" }}\n",
        free_address(),
        free_address(),
    );
    let settings = folder.join("entry.toml");
    std::fs::write(&settings, &text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotcross"));
    command.arg("gateway").arg("--settings").arg(&settings);
    let mut process = Process::spawn(&mut command, true);
    process.wait_for_line("\"started\"");
    Entry {
        process,
        callers,
        settings,
        text,
    }
}

impl Entry {
    fn write(&self, text: &str) {
        std::fs::write(&self.settings, text).expect("the file is written");
    }

    async fn status_of(&self, body: &Value) -> Option<u16> {
        let mut request = Request::post_json("/q/5c0e7a21d94b36f8", body);
        request.method = Method::POST;
        request
            .headers
            .insert("host", HeaderValue::from_static(HOST));
        call(self.callers, &request)
            .await
            .map(|response| response.status)
    }
}

fn large_job() -> Value {
    let mut body = job(1, 50);
    body["specification"] = Value::from("x".repeat(600));
    body
}

#[test]
fn changed_settings_are_in_force_without_a_signal_and_faulty_ones_are_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut entry = start_entry(folder.path(), free_address());
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
        assert_eq!(entry.status_of(&large_job()).await, Some(413));
        // Without a configuration nothing else is served.
        assert_eq!(entry.status_of(&job(1, 50)).await, Some(503));
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
            let mut body = configuration(version, HOST, "/q/", "pool");
            limit_bodies(&mut body, max_body_bytes);
            store.put(CONFIGURATION_KEY, body.to_string().as_bytes());
        };
        publish(1, 100_000);
        let entry = start_entry(folder.path(), store.address());
        // There are no hosts.
        wait_until("the configuration is in force", async || {
            entry.status_of(&large_job()).await == Some(503)
        })
        .await;
        publish(2, 512);
        wait_until("the limit is in force", async || {
            entry.status_of(&large_job()).await == Some(413)
        })
        .await;
        assert_eq!(entry.status_of(&job(1, 50)).await, Some(503));
    });
    run.expect("the runtime starts");
}
