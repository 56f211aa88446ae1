//! Each mutant must be noticed by the checker of a promise that its guard keeps.
//!
//! `RefuseWhileFencing` and `AdoptLateRecord` are noticed by the tests of `dispatch`, and the
//! agent's `IgnorePermit` and `RunPastDeadline` by those of `execution`.

#![cfg(feature = "mutants")]

use dispatch::Mutation as Entry;
use execution::Mutation as Agent;
use proof::check::Promise;
use proof::matrix::{Cell, Planner, cells};
use proof::world::{MatrixFault, Mutant, Step, run};
use rstest::rstest;

/// Runs after which a mutant counts as not noticed.
const MAX_RUNS: u32 = 1_500;

/// Runs until a promise is broken; returns how many it took.
fn runs_until_broken(mutants: &[Mutant], promises: &[Promise], cells: &[Cell]) -> Option<u32> {
    let mut runs = 0;
    for seed in 0.. {
        let mut planner = Planner::new(seed, 0);
        for cell in cells {
            let Some(mut scenario) = planner.plan(*cell) else {
                continue;
            };
            for mutant in mutants {
                scenario = scenario.mutant(*mutant);
            }
            runs += 1;
            let outcome = run(scenario);
            let broken = outcome
                .violations
                .iter()
                .find(|violation| promises.contains(&violation.promise));
            if let Some(violation) = broken {
                println!("{mutants:?}: run {runs}, seed {seed}, {cell:?}: {violation}");
                return Some(runs);
            }
            if runs >= MAX_RUNS {
                return None;
            }
        }
    }
    None
}

fn cells_of(steps: &[Step], faults: &[MatrixFault]) -> Vec<Cell> {
    cells()
        .into_iter()
        .filter(|cell| steps.contains(&cell.step) && faults.contains(&cell.fault))
        .collect()
}

#[rstest]
#[case(Entry::SkipHorizon, &[Promise::StartsOnce, Promise::TrueRefusal])]
#[case(Entry::SkipFenceWait, &[Promise::StartsOnce, Promise::TrueRefusal])]
#[case(Entry::IgnoreRoster, &[Promise::StartsOnce, Promise::TrueRefusal])]
fn take_over_guard_is_needed(#[case] mutation: Entry, #[case] promises: &[Promise]) {
    let faults = [
        MatrixFault::Kill,
        MatrixFault::KillPeer,
        MatrixFault::PausePeer,
        MatrixFault::CutBothWays,
        MatrixFault::Delay,
        MatrixFault::PlatformSlow,
    ];
    let cells = cells_of(&[Step::TakeOver, Step::Place, Step::Drain], &faults);
    let runs = runs_until_broken(&[Mutant::Dispatch(mutation)], promises, &cells);
    assert!(runs.is_some(), "{mutation:?} is not noticed");
}

#[rstest]
#[case(Entry::SkipAuthority, &[Promise::StartsOnce, Promise::TrueRefusal])]
#[case(Entry::RestartSentTask, &[Promise::StartsOnce])]
#[case(Entry::ForgetRefusals, &[Promise::TrueRefusal])]
#[case(Entry::IgnoreBodyDigest, &[Promise::OwnAnswer, Promise::WholeAnswer])]
#[case(Entry::PartialAnswer, &[Promise::WholeAnswer])]
#[case(Entry::ConfigGoesBack, &[Promise::Configuration])]
#[case(Entry::CutOnDrain, &[Promise::GracefulStop])]
fn entry_guard_is_needed(#[case] mutation: Entry, #[case] promises: &[Promise]) {
    let faults = [
        MatrixFault::Pause,
        MatrixFault::CutOneWay,
        MatrixFault::CutBothWays,
        MatrixFault::Loss,
        MatrixFault::PlannedStop,
    ];
    let steps = [Step::Admit, Step::Start, Step::Resubmit, Step::Apply];
    let cells = cells_of(&steps, &faults);
    let runs = runs_until_broken(&[Mutant::Dispatch(mutation)], promises, &cells);
    assert!(runs.is_some(), "{mutation:?} is not noticed");
}

#[rstest]
#[case(Agent::RestartFinished, &[Promise::StartsOnce])]
#[case(Agent::AcceptStaleGeneration, &[Promise::StartsOnce, Promise::TrueRefusal])]
#[case(Agent::FenceKeepsQueued, &[Promise::StartsOnce, Promise::TrueRefusal])]
#[case(Agent::SkipTombstones, &[Promise::StartsOnce, Promise::TrueRefusal])]
fn agent_guard_is_needed(#[case] mutation: Agent, #[case] promises: &[Promise]) {
    let faults = [
        MatrixFault::Pause,
        MatrixFault::PausePeer,
        MatrixFault::CutBothWays,
        MatrixFault::Delay,
        MatrixFault::Duplicate,
        MatrixFault::Loss,
    ];
    let cells = cells_of(&[Step::Place, Step::Start, Step::TakeOver], &faults);
    let runs = runs_until_broken(&[Mutant::Execution(mutation)], promises, &cells);
    assert!(runs.is_some(), "{mutation:?} is not noticed");
}

#[test]
fn guards_of_leaving_targets_are_needed() {
    let mutants = [
        Mutant::Dispatch(Entry::PlaceOnDraining),
        Mutant::Execution(Agent::AcceptWhileDraining),
    ];
    let cells = cells_of(&[Step::Start, Step::Finish], &[MatrixFault::PlannedStop]);
    let runs = runs_until_broken(&mutants, &[Promise::LeavingTarget], &cells);
    assert!(runs.is_some(), "work for a leaving target is not noticed");
}
