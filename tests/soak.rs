//! A short soak test of the binaries; long ones are run by hand.

use std::path::Path;

use soak::{Plan, Profile, Programs, production_programs, run};

const FAULTS_MS: u64 = 4_000;

fn plan(seed: u64, folder: &Path, production: Option<Programs>) -> Plan {
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
        production,
        folder: folder.to_owned(),
    }
}

#[test]
fn short_soak_completes_jobs_without_violations() {
    let folder = tempfile::tempdir().expect("a folder");
    check(plan(1, folder.path(), None));
}

#[test]
fn short_soak_of_an_upgrade_completes_jobs_without_violations() {
    let folder = tempfile::tempdir().expect("a folder");
    let repository = Path::new(env!("CARGO_MANIFEST_DIR"));
    let production = production_programs(repository, Profile::current());
    let production = production.expect("the release in production is built");
    check(plan(2, folder.path(), Some(production)));
}

fn check(plan: Plan) {
    let outcome = runtime::run(run(plan));
    let outcome = outcome.expect("a runtime").expect("processes and ports");
    assert_eq!(outcome.violations, Vec::<String>::new());
    assert!(outcome.completed > 0, "{outcome:?}");
    assert!(!outcome.faults.is_empty(), "{outcome:?}");
}
