//! Child processes that print the addresses they listen on.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use crate::Outcome;

/// Where a program prints the line with its addresses.
#[derive(Debug, Clone, Copy)]
pub enum Output {
    Stdout,
    Stderr,
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and returns it with the first line that contains `marker`.
    pub fn start(command: &mut Command, output: Output, marker: &str) -> Outcome<(Self, String)> {
        command.stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::null());
        match output {
            Output::Stdout => command.stdout(Stdio::piped()),
            Output::Stderr => command.stderr(Stdio::piped()),
        };
        let mut process = Self {
            child: command.spawn()?,
        };
        let mut lines = process.lines(output);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 {
                return Err(format!("{command:?} ended without {marker:?}").into());
            }
            if line.contains(marker) {
                thread::spawn(move || discard(lines));
                return Ok((process, line));
            }
        }
    }

    fn lines(&mut self, output: Output) -> BufReader<Box<dyn Read + Send>> {
        let pipe: Box<dyn Read + Send> = match output {
            Output::Stdout => Box::new(self.child.stdout.take().expect("stdout is piped")),
            Output::Stderr => Box::new(self.child.stderr.take().expect("stderr is piped")),
        };
        BufReader::new(pipe)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn discard(mut lines: BufReader<Box<dyn Read + Send>>) {
    let show = std::env::var_os("BENCH_LOG").is_some();
    let mut line = String::new();
    while matches!(lines.read_line(&mut line), Ok(bytes) if bytes > 0) {
        if show {
            eprint!("{line}");
        }
        line.clear();
    }
}

/// Returns the path of a program beside the benchmark's own binary.
pub fn program(name: &str) -> Outcome<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.parent().unwrap_or(Path::new(".")).join(name);
    if !path.exists() {
        let text = "is not built: run `cargo build --release --bins --examples`";
        return Err(format!("{name} {text}").into());
    }
    Ok(path)
}

/// Reads the address that follows `text` in a line.
pub fn address_after(line: &str, text: &str) -> Outcome<SocketAddr> {
    let (_, rest) = line.split_once(text).ok_or("the line names no address")?;
    let end = rest.find([' ', ',', '\n']).unwrap_or(rest.len());
    Ok(rest[..end].trim_end_matches('.').parse()?)
}
