//! The agent's program as a process.

mod cli_support;

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStderr, Command, Stdio};

use cli_support::{AGENT, Ran, command, folder, text};
use tempfile::TempDir;

const SETTINGS: &str = r#"
announce_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
failure_domain = "kochi-1"
entries = ["127.0.0.1:1"]
"#;

struct AgentProcess {
    child: Child,
    stderr: BufReader<ChildStderr>,
    _folder: TempDir,
}

impl AgentProcess {
    fn start() -> Self {
        let folder = folder(&[("agent.toml", SETTINGS)]);
        let file = folder.path().join("agent.toml");
        let mut child = command(AGENT, &["--settings", text(&file)])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the agent starts");
        let stderr = child.stderr.take().expect("stderr is piped");
        Self {
            child,
            stderr: BufReader::new(stderr),
            _folder: folder,
        }
    }

    /// Reads lines until one contains the text, and returns it.
    fn wait_for_line(&mut self, wanted: &str) -> String {
        loop {
            let mut line = String::new();
            let length = self.stderr.read_line(&mut line).expect("a line");
            assert!(length > 0, "the agent ended without {wanted:?}");
            if line.contains(wanted) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(sent.expect("the shell starts").success());
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn sigterm_drains_and_ends_the_process() {
    let mut agent = AgentProcess::start();
    agent.wait_for_line("serves entries on");
    agent.signal("TERM");
    agent.wait_for_line("drains");
    agent.wait_for_line("has stopped");
    assert!(agent.child.wait().expect("it ends").success());
}

#[test]
fn sigusr1_dumps_the_state() {
    let mut agent = AgentProcess::start();
    agent.wait_for_line("serves entries on");
    agent.signal("USR1");
    let line = agent.wait_for_line("\"dump\"");
    let dump: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(dump["state"]["failure_domain"], "kochi-1");
}

#[cfg(target_os = "linux")]
#[test]
fn agent_has_one_thread_and_no_io_uring() {
    let mut agent = AgentProcess::start();
    agent.wait_for_line("serves entries on");
    let process = format!("/proc/{}", agent.child.id());
    let threads = std::fs::read_dir(format!("{process}/task")).expect("threads");
    assert_eq!(threads.count(), 1);
    for file in std::fs::read_dir(format!("{process}/fd")).expect("files") {
        let target = std::fs::read_link(file.expect("a file").path()).expect("a link");
        assert!(!text(&target).contains("io_uring"), "{target:?}");
    }
}

#[test]
fn every_fault_of_the_settings_is_reported() {
    let folder = folder(&[(
        "agent.toml",
        "peer_adress = \"127.0.0.1:1\"\nentries = []\n",
    )]);
    let file = folder.path().join("agent.toml");
    let output = command(AGENT, &["--settings", text(&file)]).output();
    let ran: Ran = output.expect("the program starts").into();
    ran.expect_code(4)
        .expect_stderr("agent.toml: announce_address")
        .expect_stderr("agent.toml: peer_adress")
        .expect_stderr("agent.toml: entries");
}

#[test]
fn taken_port_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let settings = SETTINGS.replacen("127.0.0.1:0", &address, 1);
    let folder = folder(&[("agent.toml", &settings)]);
    let file = folder.path().join("agent.toml");
    let output = command(AGENT, &["--settings", text(&file)]).output();
    let ran: Ran = output.expect("the program starts").into();
    ran.expect_code(5)
        .expect_stderr(&format!("cannot listen on {address}"))
        .expect_stderr("free the port or name another one");
}
