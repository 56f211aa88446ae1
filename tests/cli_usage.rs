//! Tests of the help texts, versions and command-line errors.

mod cli_support;

use cli_support::{AGENT, Finished, SHALLOTCROSS, command, run};

const COMMANDS: [&str; 12] = [
    "serve", "gateway", "demo", "check", "publish", "show", "submit", "status", "cancel", "dump",
    "explain", "drain",
];

fn run_agent(args: &[&str]) -> Finished {
    let output = command(AGENT, args).output();
    output.expect("the program starts").into()
}

#[test]
fn help_lists_every_command() {
    let help = run(&["--help"]).expect_code(0);
    for name in COMMANDS {
        assert!(help.stdout.contains(&format!("\n    {name} ")), "{name}");
    }
    assert_eq!(help.stderr, "");
}

#[test]
fn every_command_prints_its_help() {
    for name in COMMANDS {
        let help = run(&[name, "--help"]).expect_code(0);
        let usage = format!("Usage: shallotcross {name}");
        assert!(help.stdout.starts_with(&usage), "{help:?}");
        assert_eq!(help.stderr, "");
    }
}

#[test]
fn both_programs_print_their_version() {
    let version = env!("CARGO_PKG_VERSION");
    let ran = run(&["--version"]).expect_code(0);
    assert_eq!(ran.stdout, format!("shallotcross {version}\n"));
    let ran = run_agent(&["--version"]).expect_code(0);
    assert_eq!(ran.stdout, format!("shallotcross-agent {version}\n"));
}

#[test]
fn no_command_prints_the_help_as_an_error() {
    let ran = run(&[]).expect_code(2).expect_stderr("Commands:");
    assert_eq!(ran.stdout, "");
}

#[test]
fn unknown_command_is_a_usage_error() {
    run(&["publsh"])
        .expect_code(2)
        .expect_stderr("no command `publsh`")
        .expect_stderr("shallotcross --help");
}

#[test]
fn every_command_rejects_unknown_options() {
    for name in COMMANDS {
        run(&[name, "--nonsense"])
            .expect_code(2)
            .expect_stderr("Unrecognized option: 'nonsense'")
            .expect_stderr(&format!("shallotcross {name} --help"));
    }
}

#[test]
fn missing_and_extra_arguments_are_reported() {
    run(&["check"])
        .expect_code(2)
        .expect_stderr("DIR is missing");
    run(&["check", "one", "two"])
        .expect_code(2)
        .expect_stderr("unexpected argument `two`");
    run(&["publish", "folder"])
        .expect_code(2)
        .expect_stderr("'platform' missing");
    run(&["show"])
        .expect_code(2)
        .expect_stderr("'platform' missing");
    for name in ["submit", "status", "cancel"] {
        run(&[name, "job"])
            .expect_code(2)
            .expect_stderr("'entry' missing");
    }
    for name in ["dump", "drain"] {
        run(&[name])
            .expect_code(2)
            .expect_stderr("ADDRESS is missing");
    }
}

#[test]
fn addresses_require_an_ip_address_and_a_port() {
    for address in ["localhost:2379", "127.0.0.1", ""] {
        run(&["show", "--platform", address])
            .expect_code(2)
            .expect_stderr("--platform: ")
            .expect_stderr("is not an address")
            .expect_stderr("such as 127.0.0.1:8080");
    }
    run(&["dump", "nowhere"])
        .expect_code(2)
        .expect_stderr("ADDRESS: `nowhere` is not an address");
}

#[test]
fn invalid_number_is_a_usage_error() {
    run(&["publish", "x", "--platform", "127.0.0.1:1", "--base", "-1"])
        .expect_code(2)
        .expect_stderr("--base: `-1`")
        .expect_stderr("give a whole number");
}

#[test]
fn closed_ports_are_reported_as_unavailable() {
    run(&["show", "--platform", "127.0.0.1:1"])
        .expect_code(5)
        .expect_stderr("the platform cannot be read");
    run(&["dump", "127.0.0.1:1", "--agent"])
        .expect_code(5)
        .expect_stderr("127.0.0.1:1: no answer")
        .expect_stderr("check the address");
}

#[test]
fn serve_requires_settings() {
    run(&["serve"])
        .expect_code(2)
        .expect_stderr("'settings' missing");
    run(&["serve", "--settings", "/nonexistent.toml"])
        .expect_code(4)
        .expect_stderr("/nonexistent.toml")
        .expect_stderr("name an existing file");
}

#[test]
fn agent_prints_its_help_and_requires_settings() {
    let help = run_agent(&["--help"]).expect_code(0);
    assert!(help.stdout.starts_with("Usage: shallotcross-agent"));
    run_agent(&[])
        .expect_code(2)
        .expect_stderr("'settings' missing");
    run_agent(&["--settings", "/nonexistent.toml"])
        .expect_code(4)
        .expect_stderr("/nonexistent.toml")
        .expect_stderr("name an existing file");
}

#[test]
fn output_to_a_closed_pipe_is_not_an_error() {
    let mut child = command(SHALLOTCROSS, &["--help"])
        .stdout(closed_pipe())
        .spawn()
        .expect("the program starts");
    assert!(child.wait().expect("it ends").success());
}

fn closed_pipe() -> std::io::PipeWriter {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    writer
}
