//! Tests of the command `demo`, and of the other commands against its running system.

mod cli_support;

use cli_support::process::Process;
use cli_support::{SHALLOTCROSS, command, run, run_with_token};

const VEMBANAD_TOKEN: &str = "vembanad-demo-token";
const CONSORCIO_TOKEN: &str = "consorcio-demo-token";
const OPERATORS_TOKEN: &str = "operators-demo-token";
const JOB_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/demo/job.json");

/// Starts `demo --stay` and waits until all steps have run.
fn start_demo() -> Process {
    let mut process = Process::with_stdout(&mut command(SHALLOTCROSS, &["demo", "--stay"]));
    process.wait_for_line("shallotcross show --platform");
    process
}

fn stop(demo: Process) {
    demo.signal("TERM");
    assert!(demo.wait().success());
}

#[test]
fn demo_runs_every_step_and_succeeds() {
    let ran = run(&["demo"])
        .expect_code(0)
        .expect_stdout("== a job of vembanad")
        .expect_stdout("== a job of consorcio")
        .expect_stdout("tasks started: 4 before, 4 after")
        .expect_stdout("\"kind\":\"not_run\",\"reason\":\"overloaded\"")
        .expect_stdout("retry after ")
        .expect_stdout("== the state of the first entry")
        .expect_stdout("the demo succeeded");
    assert_eq!(ran.stderr, "");
    for token in [VEMBANAD_TOKEN, CONSORCIO_TOKEN, OPERATORS_TOKEN] {
        assert!(!ran.stdout.contains(token));
    }
}

#[test]
fn commands_work_against_the_demo() {
    let demo = start_demo();
    let entry = &demo.address_after("entry     ");
    let agent = &demo.address_after("agent     ");
    let platform = &demo.address_after("platform  ");
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
    run(&["show", "--platform", platform])
        .expect_code(0)
        .expect_stdout("published by demo")
        .expect_stdout("firms.consorcio.quota_tasks = 2000  (20-consorcio.toml)");
    run_with_token(OPERATORS_TOKEN, &["drain", entry])
        .expect_code(0)
        .expect_stdout("draining");
    stop(demo);
}

#[cfg(target_os = "linux")]
#[test]
fn demo_has_one_thread() {
    let demo = start_demo();
    let threads = std::fs::read_dir(format!("/proc/{}/task", demo.id()));
    assert_eq!(threads.expect("threads").count(), 1);
    stop(demo);
}
