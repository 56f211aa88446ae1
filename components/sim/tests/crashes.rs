//! Tasks that crash each target that starts them.

use sim::crashing_tasks;

const SEEDS: u64 = 3;

/// Number of targets that may crash under a task: after three crashes it must not be started three
/// times more.
const MAX_CRASHES: u32 = 5;

/// Share of each kind of request that users require to be served on any day.
const FLOOR: f64 = 0.5;

// One task was placed on host after host and took all of them down within half a second.
#[test]
fn a_task_under_which_targets_crash_is_given_up() {
    for seed in 0..SEEDS {
        let report = crashing_tasks().run(seed);
        assert_eq!(report.violations, [], "seed {seed}");
        let crashes = report.most_crashes_of_a_task;
        assert!(
            crashes <= MAX_CRASHES,
            "seed {seed}: {crashes} crashes\n{report}"
        );
    }
}

// No request of any queue was served while tasks of one queue crashed targets.
#[test]
fn requests_of_other_queues_are_served_while_tasks_of_one_queue_crash_targets() {
    for seed in 0..SEEDS {
        let report = crashing_tasks().run(seed);
        for kind in &report.kinds[1..] {
            assert!(kind.served_share() >= FLOOR, "seed {seed}: {report}");
        }
    }
}
