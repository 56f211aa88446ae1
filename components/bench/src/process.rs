//! Child processes that print the addresses on which they listen.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use crate::BenchResult;

/// Stream on which a program prints the line with its addresses.
#[derive(Debug, Clone, Copy)]
pub enum OutputStream {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// A child process that is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and waits for the first line that contains `marker`; returns both.
    pub fn start(
        command: &mut Command,
        stream: OutputStream,
        marker: &str,
    ) -> BenchResult<(Self, String)> {
        command.stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::null());
        match stream {
            OutputStream::Stdout => command.stdout(Stdio::piped()),
            OutputStream::Stderr => command.stderr(Stdio::piped()),
        };
        let mut process = Self {
            child: command.spawn()?,
        };
        let mut lines = process.reader(stream);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 {
                return Err(format!("{command:?} exited without printing {marker:?}").into());
            }
            if line.contains(marker) {
                thread::spawn(move || drain_output(lines));
                return Ok((process, line));
            }
        }
    }

    fn reader(&mut self, stream: OutputStream) -> BufReader<Box<dyn Read + Send>> {
        let pipe: Box<dyn Read + Send> = match stream {
            OutputStream::Stdout => Box::new(self.child.stdout.take().expect("stdout is piped")),
            OutputStream::Stderr => Box::new(self.child.stderr.take().expect("stderr is piped")),
        };
        BufReader::new(pipe)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already, which is no error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the rest of the output, so that the process does not block on a full pipe.
///
/// With the environment variable `BENCH_LOG`, it copies the output to standard error.
fn drain_output(mut lines: BufReader<Box<dyn Read + Send>>) {
    let is_copied = std::env::var_os("BENCH_LOG").is_some();
    let mut line = String::new();
    while matches!(lines.read_line(&mut line), Ok(bytes) if bytes > 0) {
        if is_copied {
            eprint!("{line}");
        }
        line.clear();
    }
}

/// Returns the path of a program beside the benchmark's own binary.
pub fn program_path(name: &str) -> BenchResult<PathBuf> {
    let own_path = std::env::current_exe()?;
    let path = own_path.parent().unwrap_or(Path::new(".")).join(name);
    if !path.exists() {
        let text = "is not built: run `cargo build --release --bins --examples`";
        return Err(format!("{name} {text}").into());
    }
    Ok(path)
}

/// Reads the address that follows `text` in a line.
pub fn address_after(line: &str, text: &str) -> BenchResult<SocketAddr> {
    let (_, rest) = line
        .split_once(text)
        .ok_or("the line contains no address")?;
    let end = rest.find([' ', ',', '\n']).unwrap_or(rest.len());
    Ok(rest[..end].trim_end_matches('.').parse()?)
}
