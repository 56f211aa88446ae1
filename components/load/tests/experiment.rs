//! Determinism of runs, one outcome per job, and the effect of each part of the policy.

use dispatch::{Placement, PolicyBuilder};
use load::contender::Contender;
use load::deployment::Deployment;
use load::experiment::{RunResult, run};
use load::scenario::{Scenario, ScenarioBuilder};
use load::scenarios::ScenarioName;
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;

fn shortened(name: ScenarioName) -> Scenario {
    let mut scenario = name.scenario(Deployment::Vembanad);
    scenario.duration_us = 25 * SECOND_US;
    scenario
}

fn run_chosen(scenario: &Scenario, seed: u64) -> RunResult {
    run(scenario, "chosen", &Contender::Chosen.policy(), seed)
}

#[test]
fn same_seed_gives_the_same_result() {
    let scenario = shortened(ScenarioName::Load80);
    assert_eq!(run_chosen(&scenario, 3), run_chosen(&scenario, 3));
    assert_ne!(run_chosen(&scenario, 3), run_chosen(&scenario, 4));
}

#[rstest]
fn every_job_has_exactly_one_outcome(
    #[values(
        ScenarioName::Load200,
        ScenarioName::Stragglers,
        ScenarioName::FailingHost,
        ScenarioName::CancelWave,
        ScenarioName::RackLost,
        ScenarioName::RollingReplacement,
        ScenarioName::FloodTwoEntries,
        ScenarioName::PlatformOutage
    )]
    name: ScenarioName,
    #[values(Contender::Chosen, Contender::Random)] contender: Contender,
) {
    let scenario = shortened(name);
    let result = run(&scenario, contender.into(), &contender.policy(), 5);
    let ended = result.complete + result.refused + result.late + result.failed;
    assert_eq!(ended, result.submitted);
    assert_eq!(
        (result.lost, result.doubled, result.falsely_refused),
        (0, 0, 0)
    );
}

#[test]
fn a_steady_firm_keeps_its_goodput_when_another_overloads() {
    let alone = run_chosen(&shortened(ScenarioName::SteadyAlone), 2);
    let beside = run_chosen(&shortened(ScenarioName::Flood), 2);
    assert!(
        beside.first_goodput > 0.8 * alone.first_goodput,
        "{} beside, {} alone",
        beside.first_goodput,
        alone.first_goodput
    );
}

#[test]
fn goodput_stays_at_its_peak_under_overload() {
    let twice = run_chosen(&shortened(ScenarioName::Load200), 1).goodput;
    let ten_times = run_chosen(&shortened(ScenarioName::Load1000), 1).goodput;
    assert!(ten_times > 0.95 * twice, "{ten_times} against {twice}");
}

#[test]
fn admission_control_reduces_late_jobs_under_overload() {
    let scenario = shortened(ScenarioName::Load200);
    let open = PolicyBuilder::new().admission(false).build();
    let without = run(&scenario, "open", &open, 1);
    let with = run_chosen(&scenario, 1);
    assert!(without.refused == 0 && with.refused > 0);
    assert!(with.late * 2 < without.late);
}

#[test]
fn a_failing_host_is_ejected() {
    let scenario = shortened(ScenarioName::FailingHost);
    let tolerant = PolicyBuilder::new().ejection(false).build();
    let without = run(&scenario, "tolerant", &tolerant, 1);
    let with = run_chosen(&scenario, 1);
    assert!(
        with.ejected_after_ms
            .is_some_and(|after_ms| after_ms < 1_500)
    );
    assert!(
        with.failed * 2 < without.failed,
        "{} {}",
        with.failed,
        without.failed
    );
}

#[test]
fn broken_jobs_eject_no_host() {
    let result = run_chosen(&shortened(ScenarioName::BrokenJobs), 1);
    assert!(result.failed > 0);
    assert_eq!(result.ejections, 0);
}

#[test]
fn queueing_at_the_owner_lowers_p99_against_queueing_at_agents() {
    let scenario = shortened(ScenarioName::UnevenLoad95);
    let first = PolicyBuilder::new()
        .placement(Placement::LeastExpectedV1)
        .build();
    let total = |result: fn(u64, &Scenario, &dispatch::Policy) -> f64, policy| {
        (1..=3)
            .map(|seed| result(seed, &scenario, policy))
            .sum::<f64>()
    };
    let p99 = |seed, scenario: &Scenario, policy: &_| run(scenario, "", policy, seed).ratio_p99;
    let chosen = Contender::Chosen.policy();
    assert!(total(p99, &chosen) < total(p99, &first));
}

#[test]
fn a_lost_rack_causes_few_revocations() {
    let result = run_chosen(&shortened(ScenarioName::RackLost), 4);
    assert!(result.waste.revoked < 2_000, "{:?}", result.waste);
}

#[test]
fn jobs_at_idle_targets_take_the_ideal_time() {
    let scenario = ScenarioBuilder::new("idle", Deployment::Consorcio)
        .offered(0.01)
        .duration_us(60 * SECOND_US, 0)
        .build();
    let result = run_chosen(&scenario, 1);
    assert!(
        result.ratio_p50 >= 0.99 && result.ratio_p50 < 1.1,
        "{}",
        result.ratio_p50
    );
}
