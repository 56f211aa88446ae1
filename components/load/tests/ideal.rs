//! Tests of the ideal response time and the sampled workload.

use load::deployment::Deployment;
use load::ideal::{Capacity, makespan_us};
use load::scenarios::ScenarioName;
use load::workload::{MAX_TASKS, plan};
use rstest::rstest;

const FAST: Capacity = Capacity {
    slots: 1,
    slowness: 0.5,
};
const SLOW: Capacity = Capacity {
    slots: 2,
    slowness: 2.0,
};

#[rstest]
#[case::one_task_on_the_fastest(&[100], &[FAST, SLOW], 50)]
#[case::waiting_beats_a_slow_target(&[100, 100], &[FAST, SLOW], 100)]
#[case::all_slots_in_use(&[100, 100, 100, 100, 100, 100], &[FAST, SLOW], 200)]
#[case::longest_first(&[10, 10, 100], &[SLOW], 200)]
#[case::nothing_to_do(&[], &[FAST], 0)]
fn makespan_of_longest_first(
    #[case] tasks_us: &[u64],
    #[case] targets: &[Capacity],
    #[case] expected_us: u64,
) {
    assert_eq!(makespan_us(tasks_us, targets), expected_us);
}

#[test]
fn no_target_gives_an_infinite_makespan() {
    assert_eq!(makespan_us(&[1], &[]), u64::MAX);
}

#[test]
fn plans_follow_the_seed_and_the_offered_load() {
    let scenario = ScenarioName::Load80.scenario(Deployment::Vembanad);
    assert_eq!(plan(&scenario, 1), plan(&scenario, 1));
    assert_ne!(plan(&scenario, 1), plan(&scenario, 2));
    let work_us: u64 = (1..=10)
        .flat_map(|seed| plan(&scenario, seed))
        .map(|job| job.tasks_us.iter().sum::<u64>())
        .sum();
    let capacity = scenario.work_rate() * scenario.duration_us as f64 * 10.0;
    let offered = work_us as f64 / capacity;
    assert!((0.7..0.9).contains(&offered), "{offered}");
}

#[test]
fn planned_jobs_are_within_bounds() {
    let scenario = ScenarioName::WrongSizes.scenario(Deployment::Consorcio);
    for job in plan(&scenario, 1) {
        assert!((1..=usize::from(MAX_TASKS)).contains(&job.tasks_us.len()));
        assert!(job.deadline_us > job.at_us + job.ideal_us);
        assert!(job.ideal_us > scenario.deployment.round_trip_us());
    }
}
