//! The command `demo`, and the other commands against the system that it keeps up.

mod cli_support;

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};

use cli_support::{SHALLOTCROSS, command, run, run_with_token};

const VEMBANAD_TOKEN: &str = "vembanad-demo-token";
const CONSORCIO_TOKEN: &str = "consorcio-demo-token";
const OPERATORS_TOKEN: &str = "operators-demo-token";
const JOB_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/demo/job.json");

/// A demonstration that stays up.
struct Demo {
    child: Child,
    platform: String,
    entry: String,
    agent: String,
    _stdout: BufReader<ChildStdout>,
}

impl Demo {
    fn start() -> Self {
        let mut child = command(SHALLOTCROSS, &["demo", "--stay"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let lines = read_until(&mut stdout, "shallotcross show --platform");
        Self {
            child,
            platform: address(&lines, "platform  "),
            entry: address(&lines, "entry     "),
            agent: address(&lines, "agent     "),
            _stdout: stdout,
        }
    }

    fn stop(mut self) {
        let command = format!("kill -TERM {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(sent.expect("the shell starts").success());
        assert!(self.child.wait().expect("it ends").success());
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_until(stdout: &mut BufReader<ChildStdout>, last: &str) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        let length = stdout.read_line(&mut line).expect("a line");
        assert!(length > 0, "the demo ended without {last:?}: {lines:?}");
        let found = line.contains(last);
        lines.push(line);
        if found {
            return lines;
        }
    }
}

/// Returns the first address in the first line that begins with a text.
fn address(lines: &[String], start: &str) -> String {
    let mut rest = lines.iter().filter_map(|line| line.strip_prefix(start));
    let rest = rest.next().expect("the line is there").trim();
    let end = rest.find([' ', ',']).unwrap_or(rest.len());
    rest[..end].to_owned()
}

#[test]
fn demo_shows_every_step_and_succeeds() {
    let ran = run(&["demo"])
        .expect_code(0)
        .expect_stdout("== a job of vembanad")
        .expect_stdout("== a job of consorcio")
        .expect_stdout("tasks started: 4 before, 4 after")
        .expect_stdout("\"kind\":\"not_run\",\"reason\":\"overloaded\"")
        .expect_stdout("come back after ")
        .expect_stdout("== the state of the first entry")
        .expect_stdout("the demo succeeded");
    assert_eq!(ran.stderr, "");
    for token in [VEMBANAD_TOKEN, CONSORCIO_TOKEN, OPERATORS_TOKEN] {
        assert!(!ran.stdout.contains(token));
    }
}

#[test]
fn commands_work_against_the_demo() {
    let demo = Demo::start();
    let (entry, agent) = (demo.entry.as_str(), demo.agent.as_str());
    let submit = ["submit", JOB_FILE, "--entry", entry, "--id", "cli-1"];
    let answer = run_with_token(VEMBANAD_TOKEN, &submit)
        .expect_code(0)
        .expect_stdout("\"state\":\"complete\"");
    let status = ["status", "cli-1", "--entry", entry];
    let shown = run_with_token(VEMBANAD_TOKEN, &status).expect_code(0);
    assert_eq!(shown.stdout, answer.stdout);
    run_with_token(CONSORCIO_TOKEN, &status)
        .expect_code(4)
        .expect_stderr("check the id");
    run_with_token(VEMBANAD_TOKEN, &["cancel", "cli-1", "--entry", entry])
        .expect_code(1)
        .expect_stderr("the job has its answer already");
    run_with_token(VEMBANAD_TOKEN, &["dump", entry]).expect_code(4);
    run_with_token(OPERATORS_TOKEN, &["dump", entry])
        .expect_code(0)
        .expect_stdout("\"failure_domain\":\"kerala-1\"");
    run(&["dump", agent, "--agent"])
        .expect_code(0)
        .expect_stdout("\"failure_domain\":\"kerala-1\"");
    run(&["show", "--platform", &demo.platform])
        .expect_code(0)
        .expect_stdout("published by demo")
        .expect_stdout("firms.consorcio.quota_tasks = 2000  (20-consorcio.toml)");
    run_with_token(OPERATORS_TOKEN, &["drain", entry])
        .expect_code(0)
        .expect_stdout("draining");
    demo.stop();
}

#[cfg(target_os = "linux")]
#[test]
fn demo_has_one_thread() {
    let demo = Demo::start();
    let threads = std::fs::read_dir(format!("/proc/{}/task", demo.child.id()));
    assert_eq!(threads.expect("threads").count(), 1);
    demo.stop();
}
