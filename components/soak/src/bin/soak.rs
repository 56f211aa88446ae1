//! Runs soaks of the programs in the folder of this binary, one for each seed.
//!
//! Usage: `soak [--first-seed N] [--seeds N] [--entries N] [--hosts N] [--seconds N]
//! [--faults-per-s N] [--upgrade 1]`; with `--upgrade 1`, in the repository, processes are also replaced by
//! those of the release in production and back.

use std::path::Path;
use std::process::ExitCode;

use soak::{Plan, Profile, Programs, production_programs, run};

/// Returns the value of an option, or the default if it is missing or not a number.
fn option(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn main() -> ExitCode {
    let own_path = std::env::current_exe().unwrap_or_default();
    let programs = Programs::in_folder(own_path.parent().unwrap_or(Path::new(".")));
    let first_seed = option("--first-seed", 1);
    let mut production = None;
    if option("--upgrade", 0) > 0 {
        match production_programs(Path::new("."), Profile::current()) {
            Ok(programs) => production = Some(programs),
            Err(error) => {
                eprintln!("soak: the release in production cannot be built: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    let mut failed_seeds = 0;
    for seed in first_seed..first_seed + option("--seeds", 5) {
        let Ok(folder) = tempfile::tempdir() else {
            eprintln!("soak: failed to create a folder for settings and logs");
            return ExitCode::FAILURE;
        };
        let plan = Plan {
            seed,
            entries: option("--entries", 3) as usize,
            hosts: option("--hosts", 4) as usize,
            faults_ms: option("--seconds", 10) * 1_000,
            faults_per_s: option("--faults-per-s", 2) as f64,
            programs: programs.clone(),
            production: production.clone(),
            folder: folder.path().to_owned(),
        };
        match runtime::run(run(plan)) {
            Ok(Ok(outcome)) => {
                println!(
                    "seed {seed}: {} completed, {} failed, {} refused, {} lost, {} starts, {} \
                     faults, {} broken",
                    outcome.completed,
                    outcome.failed,
                    outcome.refused,
                    outcome.lost,
                    outcome.starts,
                    outcome.faults.len(),
                    outcome.violations.len(),
                );
                if !outcome.violations.is_empty() {
                    failed_seeds += 1;
                    println!("  logs in {}", folder.keep().display());
                    for violation in outcome.violations.iter().take(5) {
                        println!("  {violation}");
                    }
                    println!("  faults {:?}", outcome.faults);
                }
            }
            Ok(Err(error)) | Err(error) => {
                eprintln!("soak: seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if failed_seeds > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
