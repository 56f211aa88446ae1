//! Tests of the binary `shallotcross-agent` as a process.

mod cli_support;

use cli_support::process::Process;
use cli_support::{AGENT, Finished, command, folder, text};
use tempfile::TempDir;

const SETTINGS: &str = r#"
announce_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
failure_domain = "kochi-1"
entries = ["127.0.0.1:1"]
"#;

struct AgentProcess {
    process: Process,
    _folder: TempDir,
}

impl AgentProcess {
    /// Starts an agent and waits until it listens.
    fn start() -> Self {
        let folder = folder(&[("agent.toml", SETTINGS)]);
        let file = folder.path().join("agent.toml");
        let mut process = Process::with_stderr(&mut command(AGENT, &["--settings", text(&file)]));
        process.wait_for_line("listens for targets on ");
        Self {
            process,
            _folder: folder,
        }
    }
}

#[test]
fn sigterm_drains_and_ends_the_process() {
    let mut agent = AgentProcess::start();
    agent.process.signal("TERM");
    agent.process.wait_for_line("drains");
    agent.process.wait_for_line("has stopped");
    assert!(agent.process.wait().success());
}

#[test]
fn sigusr1_dumps_the_state() {
    let mut agent = AgentProcess::start();
    agent.process.signal("USR1");
    let line = agent.process.wait_for_line("\"dump\"");
    let dump: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(dump["state"]["failure_domain"], "kochi-1");
}

#[cfg(target_os = "linux")]
#[test]
fn agent_has_one_thread_and_no_io_uring() {
    let agent = AgentProcess::start();
    let process = format!("/proc/{}", agent.process.id());
    let threads = std::fs::read_dir(format!("{process}/task")).expect("threads");
    assert_eq!(threads.count(), 1);
    let files = open_files(&process);
    assert!(files.iter().any(|file| file.contains("eventpoll")));
    assert!(
        !files.iter().any(|file| file.contains("io_uring")),
        "{files:?}"
    );
}

/// Lists the targets of the open file descriptors, skipping those closed meanwhile.
#[cfg(target_os = "linux")]
fn open_files(process: &str) -> Vec<String> {
    let mut files = Vec::new();
    for file in std::fs::read_dir(format!("{process}/fd")).expect("files") {
        match std::fs::read_link(file.expect("a file").path()) {
            Ok(target) => files.push(text(&target).to_owned()),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::NotFound),
        }
    }
    files
}

#[test]
fn every_invalid_setting_is_reported() {
    let folder = folder(&[(
        "agent.toml",
        "peer_adress = \"127.0.0.1:1\"\nentries = []\n",
    )]);
    let file = folder.path().join("agent.toml");
    let output = command(AGENT, &["--settings", text(&file)]).output();
    let ran: Finished = output.expect("the program starts").into();
    ran.expect_code(4)
        .expect_stderr("agent.toml: announce_address")
        .expect_stderr("agent.toml: peer_adress")
        .expect_stderr("agent.toml: entries");
}

#[test]
fn port_in_use_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let settings = SETTINGS.replacen("127.0.0.1:0", &address, 1);
    let folder = folder(&[("agent.toml", &settings)]);
    let file = folder.path().join("agent.toml");
    let output = command(AGENT, &["--settings", text(&file)]).output();
    let ran: Finished = output.expect("the program starts").into();
    ran.expect_code(5)
        .expect_stderr(&format!("cannot listen on {address}"))
        .expect_stderr("free the port or name another one");
}
