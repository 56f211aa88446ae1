//! Programs that run in the background of a test.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Timeout of the wait for a line; reached only if the line is never printed.
const LINE_TIMEOUT: Duration = Duration::from_secs(60);

/// A background program; killed when dropped.
pub struct Process {
    child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    /// Starts a program and reads its standard output.
    pub fn with_stdout(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("it starts");
        let output = child.stdout.take().expect("stdout is piped");
        Self::new(child, output)
    }

    /// Starts a program and reads its standard error.
    pub fn with_stderr(command: &mut Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let output = child.stderr.take().expect("stderr is piped");
        Self::new(child, output)
    }

    fn new(child: Child, output: impl Read + Send + 'static) -> Self {
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
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

    /// Waits for the next line that contains a text and returns it.
    #[track_caller]
    pub fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let received = self.lines.recv_timeout(LINE_TIMEOUT);
            let Ok(line) = received else {
                panic!("{text:?} is not in {:?}", self.seen);
            };
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the address that follows a text in the first line read so far that contains it.
    #[track_caller]
    pub fn address_after(&self, text: &str) -> String {
        let mut rests = self.seen.iter().filter_map(|line| line.split_once(text));
        let Some((_, rest)) = rests.next() else {
            panic!("{text:?} is not in {:?}", self.seen);
        };
        let rest = rest.trim();
        let end = rest.find([' ', ',']).unwrap_or(rest.len());
        rest[..end].trim_end_matches('.').to_owned()
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(sent.expect("the shell starts").success());
    }

    /// Waits until the program exits.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the program has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
