//! Runs the binaries, and stand-ins of the processes that they call.

#![allow(dead_code, reason = "each test file uses only some items")]

pub mod entry;
pub mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use process::Process;
use tempfile::TempDir;

/// Path of the binary `shallotcross`.
pub const SHALLOTCROSS: &str = env!("CARGO_BIN_EXE_shallotcross");

/// Path of the binary `shallotcross-agent`.
pub const AGENT: &str = env!("CARGO_BIN_EXE_shallotcross-agent");

/// Output and exit code of a finished program.
#[derive(Debug)]
pub struct Finished {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl From<Output> for Finished {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().expect("the program was not killed"),
            stdout: String::from_utf8(output.stdout).expect("text"),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

impl Finished {
    /// Checks the exit code; prints the whole output if it differs.
    #[track_caller]
    pub fn expect_code(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }

    /// Checks that standard error contains a text.
    #[track_caller]
    pub fn expect_stderr(self, text: &str) -> Self {
        assert!(self.stderr.contains(text), "{text:?} is not in {self:?}");
        self
    }

    /// Checks that standard output contains a text.
    #[track_caller]
    pub fn expect_stdout(self, text: &str) -> Self {
        assert!(self.stdout.contains(text), "{text:?} is not in {self:?}");
        self
    }
}

/// Returns a command whose environment has no token and a fixed user.
pub fn command(program: &str, args: &[&str]) -> Command {
    let mut command = Command::new(program);
    command
        .args(args)
        .env_remove("SHALLOTCROSS_TOKEN")
        .env("USER", "ana")
        .stdin(Stdio::null());
    command
}

/// Runs `shallotcross` until it exits.
pub fn run(args: &[&str]) -> Finished {
    let output = command(SHALLOTCROSS, args).output();
    output.expect("the program starts").into()
}

/// Runs `shallotcross` with a token in its environment.
pub fn run_with_token(token: &str, args: &[&str]) -> Finished {
    let mut command = command(SHALLOTCROSS, args);
    let output = command.env("SHALLOTCROSS_TOKEN", token).output();
    output.expect("the program starts").into()
}

/// Writes files to a new temporary folder.
pub fn folder(files: &[(&str, &str)]) -> TempDir {
    let dir = TempDir::new().expect("a temporary folder");
    for (name, text) in files {
        fs::write(dir.path().join(name), text).expect("the file is written");
    }
    dir
}

/// Returns a path as a string.
pub fn text(path: &Path) -> &str {
    path.to_str().expect("the path is text")
}

/// The stand-in of the platform as a process; killed when dropped.
pub struct PlatformProcess {
    _process: Process,
    pub address: SocketAddr,
}

impl PlatformProcess {
    pub fn start() -> Self {
        let mut command = Command::new(example("platform"));
        let mut process = Process::with_stdout(command.args(["--listen", "127.0.0.1:0"]));
        process.wait_for_line("listening on ");
        let address = process.address_after("listening on ").parse();
        Self {
            address: address.expect("an address"),
            _process: process,
        }
    }
}

fn example(name: &str) -> PathBuf {
    let programs = Path::new(SHALLOTCROSS).parent().expect("a folder");
    let path = programs.join("examples").join(name);
    assert!(path.exists(), "run `cargo build --examples` first");
    path
}
