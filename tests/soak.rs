//! A short soak test of the binaries; long ones are run by hand.

use std::path::Path;

use soak::{Plan, Programs, run};

const FAULTS_MS: u64 = 4_000;

fn plan(seed: u64, folder: &Path) -> Plan {
    Plan {
        seed,
        entries: 2,
        hosts: 3,
        faults_ms: FAULTS_MS,
        faults_per_s: 2.0,
        programs: Programs {
            entry: env!("CARGO_BIN_EXE_shallotcross").into(),
            agent: env!("CARGO_BIN_EXE_shallotcross-agent").into(),
        },
        folder: folder.to_owned(),
    }
}

#[test]
fn short_soak_completes_jobs_without_violations() {
    let folder = tempfile::tempdir().expect("a folder");
    let outcome = runtime::run(run(plan(1, folder.path())));
    let outcome = outcome.expect("a runtime").expect("processes and ports");
    assert_eq!(outcome.violations, Vec::<String>::new());
    assert!(outcome.completed > 0, "{outcome:?}");
    assert!(!outcome.faults.is_empty(), "{outcome:?}");
}
