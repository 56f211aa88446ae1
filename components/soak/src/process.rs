//! Processes under test; only these are ever signalled.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// The programs under test.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The entry.
    pub entry: PathBuf,
    /// The agent.
    pub agent: PathBuf,
}

impl Programs {
    /// Returns the programs in a folder.
    #[must_use]
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            entry: folder.join("shallotcross"),
            agent: folder.join("shallotcross-agent"),
        }
    }
}

/// A process that is started again after its end.
#[derive(Debug)]
pub(crate) struct Process {
    program: PathBuf,
    command: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn start(
        program: &Path,
        command: &'static str,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let mut process = Self {
            program: program.to_owned(),
            command,
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process unless it runs.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg(self.command)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
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

    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id() as i32);
            // A process that has just ended needs no signal.
            let _ = kill(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGKILL);
        if let Some(child) = &mut self.child {
            let _ = child.wait();
        }
    }
}
