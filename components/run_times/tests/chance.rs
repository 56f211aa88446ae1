//! Probability of an end before the objective.

use proptest::prelude::*;
use run_times::{Race, RunTime, chance_in_time};

fn race(wait_ms: f64, slowness: f64) -> Race {
    Race {
        run_time: RunTime {
            median_ms: 200.0,
            log_deviation: 0.3,
        },
        allowance_ms: 60.0,
        stretch: 1.6,
        wait_ms,
        slowness,
    }
}

#[test]
fn a_task_that_starts_within_the_allowance_on_a_usual_host_is_in_time() {
    assert_eq!(chance_in_time(&race(60.0, 1.0)), 1.0);
}

#[test]
fn a_host_slower_than_the_stretch_serves_only_short_tasks_in_time() {
    // In time up to 60 / (1.9 - 1.6) = 200 ms of work, the median.
    let chance = chance_in_time(&race(0.0, 1.9));
    assert!((chance - 0.5).abs() < 0.01, "{chance}");
    assert_eq!(chance_in_time(&race(61.0, 1.9)), 0.0);
}

#[test]
fn a_wait_delays_short_tasks_beyond_their_objective() {
    // In time from (180 - 60) / 0.6 = 200 ms of work on, the median.
    let chance = chance_in_time(&race(180.0, 1.0));
    assert!((chance - 0.5).abs() < 0.01, "{chance}");
}

proptest! {
    #[test]
    fn a_longer_wait_or_a_slower_host_never_raises_the_chance(
        wait_ms in 0.0..2_000.0_f64,
        more_ms in 0.0..500.0_f64,
        slowness in 0.2..6.0_f64,
        factor in 1.0..3.0_f64,
    ) {
        let chance = chance_in_time(&race(wait_ms, slowness));
        prop_assert!((0.0..=1.0).contains(&chance));
        let later = chance_in_time(&race(wait_ms + more_ms, slowness));
        let slower = chance_in_time(&race(wait_ms, slowness * factor));
        prop_assert!(later <= chance + 1e-6);
        prop_assert!(slower <= chance + 1e-6);
    }
}
