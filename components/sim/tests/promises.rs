//! Under any faults, no task runs twice at the same time and no job that ran is refused as not run.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::{Fault, FaultKind, Scenario, deployment, usual_load};

const KINDS: [FaultKind; 13] = [
    FaultKind::KillEntry,
    FaultKind::PowerOffEntry,
    FaultKind::FreezeEntry,
    FaultKind::KillAgent,
    FaultKind::FreezeAgent,
    FaultKind::CutEntry,
    FaultKind::CutHost,
    FaultKind::ResetHost,
    FaultKind::CrashTarget,
    FaultKind::HangTarget,
    FaultKind::FailTarget,
    FaultKind::SlowTarget,
    FaultKind::LateOrders,
];

fn is_of_entry(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::KillEntry
            | FaultKind::PowerOffEntry
            | FaultKind::FreezeEntry
            | FaultKind::CutEntry
    )
}

fn sample_fault(rng: &mut SmallRng, kind: FaultKind, entries: usize, hosts: usize) -> Fault {
    let places = if is_of_entry(kind) { entries } else { hosts };
    Fault {
        kind,
        place: rng.random_range(0..places),
        at_ms: rng.random_range(200..5_000),
        for_ms: rng.random_range(50..4_000),
        strength: match kind {
            FaultKind::LateOrders => rng.random_range(0.02..0.5),
            _ => rng.random_range(1.5..8.0),
        },
    }
}

fn scenario(seed: u64, faults: Vec<Fault>) -> Scenario {
    Scenario {
        name: "faults",
        deployment: deployment(3, 5),
        load: usual_load(5, if seed.is_multiple_of(3) { 1.6 } else { 0.9 }),
        load_ms: 6_000,
        faults,
    }
}

fn assert_no_violations(seed: u64, faults: &[Fault]) {
    let report = scenario(seed, faults.to_vec()).run(seed);
    assert!(
        report.violations.is_empty(),
        "seed {seed}, faults {faults:?}\n{report}"
    );
    assert!(report.starts > 0, "seed {seed}: nothing ran");
}

#[test]
fn every_single_fault_causes_no_violation() {
    for (number, kind) in KINDS.into_iter().enumerate() {
        for repeat in 0..6 {
            let seed = 100 + number as u64 * 10 + repeat;
            let mut rng = SmallRng::seed_from_u64(seed);
            let fault = sample_fault(&mut rng, kind, 3, 5);
            assert_no_violations(seed, &[fault]);
        }
    }
}

#[test]
fn every_pair_of_faults_causes_no_violation() {
    for (first, kind) in KINDS.into_iter().enumerate() {
        for (second, other) in KINDS.into_iter().enumerate() {
            let seed = 1_000 + first as u64 * 20 + second as u64;
            let mut rng = SmallRng::seed_from_u64(seed);
            let first = sample_fault(&mut rng, kind, 3, 5);
            let second = sample_fault(&mut rng, other, 3, 5);
            assert_no_violations(seed, &[first, second]);
        }
    }
}

#[test]
fn many_faults_at_once_cause_no_violation() {
    for seed in 5_000..5_060 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults: Vec<Fault> = (0..rng.random_range(3..9))
            .map(|_| {
                let kind = KINDS[rng.random_range(0..KINDS.len())];
                sample_fault(&mut rng, kind, 3, 5)
            })
            .collect();
        assert_no_violations(seed, &faults);
    }
}

// Checks that the simulation detects overlapping runs. The retry delay of clients is the bound
// within which runs end after a loss; without the delay, retries overlap with earlier runs.
#[test]
fn immediate_client_retries_are_detected_as_overlapping_runs() {
    let mut found = 0;
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = vec![
            sample_fault(&mut rng, FaultKind::KillEntry, 3, 5),
            sample_fault(&mut rng, FaultKind::CutHost, 3, 5),
            sample_fault(&mut rng, FaultKind::KillEntry, 3, 5),
        ];
        let mut scenario = scenario(seed, faults);
        scenario.load.retry_delay_ms = 1;
        found += scenario.run(seed).violations.len();
    }
    assert!(found > 0);
}
