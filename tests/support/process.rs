//! Child processes that are killed at the end of a test.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use runtime::monotonic_us;

use super::{POLL_INTERVAL, WAIT_TIMEOUT_US};

/// A child process; killed when dropped.
pub struct Process {
    pub child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    pub fn spawn(command: &mut Command, from_stdout: bool) -> Self {
        command.stdin(Stdio::null());
        if from_stdout {
            command.stdout(Stdio::piped()).stderr(Stdio::inherit());
        } else {
            command.stdout(Stdio::null()).stderr(Stdio::piped());
        }
        let mut child = command.spawn().expect("the program starts");
        let output: Box<dyn std::io::Read + Send> = if from_stdout {
            Box::new(child.stdout.take().expect("stdout is piped"))
        } else {
            Box::new(child.stderr.take().expect("stderr is piped"))
        };
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if std::env::var_os("SHALLOTCROSS_TEST_LOG").is_some() {
                    eprintln!("{line}");
                }
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Returns the first line that contains a text, waiting for it if it is not printed yet.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        if let Some(line) = self.seen.iter().find(|line| line.contains(text)) {
            return line.clone();
        }
        loop {
            let line = self
                .lines
                .recv_timeout(Duration::from_micros(WAIT_TIMEOUT_US))
                .unwrap_or_else(|_| panic!("no line with {text:?} in {:?}", self.seen));
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the first line that contains a text, if it is printed already. Unlike
    /// [`Self::wait_for_line`], this leaves the thread to stand-ins on which the line depends.
    pub fn find_line(&mut self, text: &str) -> Option<String> {
        self.seen.extend(self.lines.try_iter());
        self.seen.iter().find(|line| line.contains(text)).cloned()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let status = self.child.try_wait().expect("the process is a child");
        status.is_some()
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let until_us = monotonic_us() + WAIT_TIMEOUT_US;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(monotonic_us() < until_us, "the process does not exit");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Counts the threads of the process.
    pub fn thread_count(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.id()))
            .expect("the process is running")
            .count()
    }

    /// Lists the targets of the open file descriptors.
    pub fn open_files(&self) -> Vec<String> {
        fs::read_dir(format!("/proc/{}/fd", self.id()))
            .expect("the process is running")
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|path| path.display().to_string())
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that SIGSTOP has stopped.
        self.kill();
    }
}

/// Returns the path of an example program.
pub fn example(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let profile = test
        .parent()
        .and_then(Path::parent)
        .expect("the test binary is in `deps`");
    profile.join("examples").join(name)
}

/// Returns the address that follows a text in a line.
pub fn address_after(line: &str, text: &str) -> SocketAddr {
    let start = line.find(text).expect("the text is there") + text.len();
    let rest = &line[start..];
    let end = rest.find([' ', ',']).unwrap_or(rest.len());
    let address = rest[..end].trim_end_matches('.');
    address.parse().expect("an address follows")
}
