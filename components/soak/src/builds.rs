//! Programs of the release in production, built from the history of the repository.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::process::Command;

use serde::Deserialize;

use crate::process::Programs;

/// File that names the release, relative to the repository.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Environment variable that names another commit than the deploy file does.
const COMMIT_VARIABLE: &str = "SHALLOTCROSS_PRODUCTION";

/// Folder for work trees and builds of earlier commits, relative to the repository.
const BUILDS_FOLDER: &str = "target/production";

/// The keys of the deploy file that matter here.
#[derive(Debug, Deserialize)]
struct DeployFile {
    production: String,
}

/// How programs are compiled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Profile {
    /// Without optimizations of the workspace.
    Debug,
    /// With optimizations.
    Release,
}

impl Profile {
    /// Returns the profile of the running program.
    #[must_use]
    pub fn current() -> Self {
        if cfg!(debug_assertions) {
            Self::Debug
        } else {
            Self::Release
        }
    }
}

/// Returns the commit of the release in production: the one in the environment variable
/// `SHALLOTCROSS_PRODUCTION`, else the one that the deploy file names.
///
/// # Errors
///
/// Fails if the file cannot be read or names no commit.
pub fn production_commit(repository: &Path) -> io::Result<String> {
    if let Ok(commit) = std::env::var(COMMIT_VARIABLE) {
        return Ok(commit);
    }
    let text = fs::read_to_string(repository.join(DEPLOY_FILE))?;
    let file: DeployFile = toml::from_str(&text).map_err(io::Error::other)?;
    Ok(file.production)
}

/// Builds the programs of the release in production in a work tree of its own, unless they are there
/// already; several processes may call this at once.
///
/// # Errors
///
/// Fails if the deploy file names no commit of the repository, or the commit cannot be built.
pub fn production_programs(repository: &Path, profile: Profile) -> io::Result<Programs> {
    let commit = production_commit(repository)?;
    let folder = repository.join(BUILDS_FOLDER).join(&commit);
    fs::create_dir_all(&folder)?;
    let lock = File::create(folder.join("lock"))?;
    lock.lock()?;
    let name: &str = profile.into();
    let programs = Programs::in_folder(&folder.join("build").join(name));
    if !(programs.entry.exists() && programs.agent.exists()) {
        let source = folder.join("source");
        check_out(repository, &commit, &source)?;
        build(&source, &folder.join("build"), profile)?;
    }
    Ok(programs)
}

fn check_out(repository: &Path, commit: &str, source: &Path) -> io::Result<()> {
    if source.exists() {
        return Ok(());
    }
    let mut git = Command::new("git");
    git.current_dir(repository)
        .args(["worktree", "add", "--force", "--detach"])
        .arg(source)
        .arg(commit);
    run(&mut git)
}

fn build(source: &Path, folder: &Path, profile: Profile) -> io::Result<()> {
    let mut cargo = Command::new("cargo");
    cargo
        .current_dir(source)
        .env("CARGO_TARGET_DIR", folder)
        .args(["build", "--quiet", "--locked", "--bins"]);
    if profile == Profile::Release {
        cargo.arg("--release");
    }
    run(&mut cargo)
}

fn run(command: &mut Command) -> io::Result<()> {
    let status = command.status()?;
    if status.success() {
        return Ok(());
    }
    Err(io::Error::other(format!("{command:?} failed: {status}")))
}
