//! Evacuated failure domains in the model.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::{Deployment, Fault, FaultKind, Scenario, deployment, quarter_evacuated, usual_load};

const SEEDS: u64 = 3;

/// Share of the worth that users require of what the capacity allows.
const TARGET: f64 = 0.87;

/// Share of the capacity that the usual load uses.
const USUAL_SHARE: f64 = 0.7;

/// Time in which an evacuation reaches every agent that the store serves or that an entry is
/// connected to, with a start under way, in milliseconds.
const REACTION_MS: u64 = 100;

/// Returns the share of the offered work that the capacity allows, if none is carried over.
///
/// Each phase of [`quarter_evacuated`] is its duration in seconds, its load as a multiple of the
/// usual one and its share of the hosts.
fn allowed_share() -> f64 {
    let phases = [
        (3.0, 1.0, 1.0),
        (1.0, 2.3, 1.0),
        (3.0, 2.3, 0.75),
        (3.0, 1.0, 0.75),
        (2.0, 1.0, 1.0),
    ];
    let (mut offered, mut allowed) = (0.0, 0.0);
    for (duration_s, load, hosts) in phases {
        offered += duration_s * load * USUAL_SHARE;
        allowed += duration_s * f64::min(load * USUAL_SHARE, hosts);
    }
    allowed / offered
}

// A quarter of the capacity may be lost to an evacuation in a burst: nothing may start there, and the
// remaining hosts must be used.
#[test]
fn a_quarter_evacuated_in_a_burst_leaves_the_worth_near_what_the_rest_allows() {
    for seed in 0..SEEDS {
        let report = quarter_evacuated().run(seed);
        assert_eq!(report.violations, [], "seed {seed}");
        assert!(
            report.latest_evacuated_start_ms <= REACTION_MS,
            "seed {seed}: {} ms",
            report.latest_evacuated_start_ms
        );
        let target = TARGET * allowed_share();
        assert!(report.worth_share >= target, "seed {seed}: {report}");
    }
}

// The capacity stayed unused after the end of an evacuation.
#[test]
fn the_capacity_is_back_when_the_evacuation_ends() {
    for seed in 0..SEEDS {
        let mut scenario = quarter_evacuated();
        scenario.load = usual_load(12, 1.3);
        scenario.faults[0].at_ms = 0;
        scenario.faults[0].for_ms = 4_000;
        let early = scenario.run(seed);
        scenario.faults.clear();
        let without = scenario.run(seed);
        // 4 of 12 s without a quarter of the hosts.
        let lost = without.worth_share - early.worth_share;
        assert!(lost < 0.25 * 4.0 / 12.0 + 0.03, "seed {seed}: {lost:.3}");
    }
}

fn is_of_entry(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::KillEntry
            | FaultKind::PowerOffEntry
            | FaultKind::FreezeEntry
            | FaultKind::CutEntry
    )
}

// Agents that are frozen across the bound, restarted, cut off or refused by the store, and targets
// that carry out orders late, started tasks after the bound.
#[test]
fn nothing_starts_after_the_bound_under_faults() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::FreezeEntry,
        FaultKind::CutEntry,
        FaultKind::KillAgent,
        FaultKind::FreezeAgent,
        FaultKind::CutHost,
        FaultKind::ResetHost,
        FaultKind::CrashTarget,
        FaultKind::LateOrders,
    ];
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fault = |rng: &mut SmallRng| {
            let kind = kinds[rng.random_range(0..kinds.len())];
            Fault {
                kind,
                place: rng.random_range(0..if is_of_entry(kind) { 3 } else { 8 }),
                at_ms: rng.random_range(200..9_000),
                for_ms: rng.random_range(50..7_000),
                strength: 0.1,
            }
        };
        let mut faults: Vec<Fault> = (0..8).map(|_| fault(&mut rng)).collect();
        // Two failure domains one after the other, and the first one again.
        for (place, at_ms, for_ms) in [(1, 1_000, 7_000), (2, 2_500, 8_000), (1, 9_000, 6_000)] {
            faults.push(Fault {
                kind: FaultKind::Evacuate,
                place,
                at_ms,
                for_ms,
                strength: 0.5,
            });
        }
        let scenario = Scenario {
            name: "faults",
            deployment: Deployment {
                failure_domains: 4,
                ..deployment(3, 8)
            },
            load: usual_load(8, 0.7),
            load_ms: 15_000,
            faults: faults.clone(),
        };
        let report = scenario.run(seed);
        assert_eq!(report.violations, [], "seed {seed}: {faults:?}");
    }
}
