//! Soaks the programs beside this one: `soak [--first-seed N] [--seeds N] [--entries N] [--hosts N]
//! [--seconds N] [--faults-per-s N]`.

use std::path::Path;
use std::process::ExitCode;

use soak::{Plan, Programs, run};

fn option(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn main() -> ExitCode {
    let own = std::env::current_exe().unwrap_or_default();
    let programs = Programs::in_folder(own.parent().unwrap_or(Path::new(".")));
    let first = option("--first-seed", 1);
    let mut broken = 0;
    for seed in first..first + option("--seeds", 5) {
        let Ok(folder) = tempfile::tempdir() else {
            eprintln!("soak: no folder for settings and logs");
            return ExitCode::FAILURE;
        };
        let plan = Plan {
            seed,
            entries: option("--entries", 3) as usize,
            hosts: option("--hosts", 4) as usize,
            faults_ms: option("--seconds", 10) * 1_000,
            faults_per_s: option("--faults-per-s", 2) as f64,
            programs: programs.clone(),
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
                    broken += 1;
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
    if broken > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
