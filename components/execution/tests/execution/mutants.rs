//! Each mutant must violate an invariant in some random sequence.

use execution::{AgentBuilder, Mutation};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;

use crate::harness::AGENT;
use crate::sequences::{Simulation, steps};

const CASES: u32 = 20_000;

#[rstest]
#[case(Mutation::AcceptStaleGeneration)]
#[case(Mutation::IgnorePermit)]
#[case(Mutation::RestartFinished)]
#[case(Mutation::SkipTombstones)]
#[case(Mutation::RunPastDeadline)]
#[case(Mutation::AcceptWhileDraining)]
#[case(Mutation::FenceKeepsQueued)]
fn mutant_violates_an_invariant(#[case] mutation: Mutation) {
    let config = Config {
        cases: CASES,
        max_shrink_iters: 0,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps(), |steps| {
        Simulation::new(AgentBuilder::new(AGENT).mutation(mutation)).check(steps)
    });
    let Err(TestError::Fail(reason, _)) = outcome else {
        panic!("{mutation:?} is not detected: {outcome:?}");
    };
    println!("{mutation:?}: {reason}");
}
