//! Processes under test. Signals go only to processes that this module started.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Paths of the programs under test.
#[derive(Debug, Clone)]
pub struct Programs {
    /// Program whose `gateway` subcommand runs an entry.
    pub entry: PathBuf,
    /// Program whose `sidecar` subcommand runs an agent.
    pub agent: PathBuf,
}

impl Programs {
    /// Returns the paths of the programs in a folder, under their usual names.
    #[must_use]
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            entry: folder.join("shallotcross"),
            agent: folder.join("shallotcross-agent"),
        }
    }
}

/// A process that can be restarted with the same settings file and log file.
#[derive(Debug)]
pub(crate) struct Process {
    program: PathBuf,
    /// Program of the other build, if there is one.
    other_program: Option<PathBuf>,
    subcommand: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings to a file and starts the process with the first of the programs; the second
    /// is that of the other build, if there is one.
    pub(crate) fn start(
        (program, other_program): (&Path, Option<&Path>),
        subcommand: &'static str,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let mut process = Self {
            program: program.to_owned(),
            other_program: other_program.map(Path::to_owned),
            subcommand,
            settings_path: path,
            log_path: folder.join(format!("{name}.log")),
            child: None,
        };
        process.start_if_ended()?;
        Ok(process)
    }

    /// Starts the process unless it is running.
    pub(crate) fn start_if_ended(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(&self.program)
            .arg(self.subcommand)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Uses the other build, if there is one, from the next start on.
    pub(crate) fn use_other_build(&mut self) {
        if let Some(other) = &mut self.other_program {
            std::mem::swap(&mut self.program, other);
        }
    }

    pub(crate) fn is_running(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            Some(Ok(Some(_)) | Err(_)) => {
                self.child = None;
                false
            }
            None => false,
        }
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id() as i32);
            // The process may have ended since the check, which is no error.
            let _ = kill(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Also resumes a process that a fault has paused.
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGKILL);
        if let Some(child) = &mut self.child {
            let _ = child.wait();
        }
    }
}
