//! Estimates of hosts' speeds from runs whose expected times are wrong.

mod support;

use run_times::{HostSpeed, SpeedSample, reference_speed};
use support::Sampler;

/// Median run time on a host of speed 1, in milliseconds.
const MEDIAN_MS: f64 = 200.0;

/// Adds whole runs, one every `interval_ms`, on a host that is `slowness` times slower than normal.
fn run(
    speed: &mut HostSpeed,
    sampler: &mut Sampler,
    from_ms: u64,
    runs: u64,
    slowness: f64,
    deviation: f64,
) -> u64 {
    const INTERVAL_MS: u64 = 25;
    for at in 0..runs {
        let ran_ms = sampler.log_normal(MEDIAN_MS, deviation) * slowness;
        let sample = SpeedSample {
            expected_ms: MEDIAN_MS,
            elapsed_ms: ran_ms,
            weight: 1.0,
            log_deviation: deviation,
        };
        speed.add_sample(from_ms + at * INTERVAL_MS, &sample);
    }
    from_ms + runs * INTERVAL_MS
}

// Runs of a long actual time weighed most, so that hosts looked slower the more declared times erred.
#[test]
fn errors_of_expected_times_do_not_make_a_host_look_slow() {
    for deviation in [0.2, 0.4, 0.8] {
        let mut speed = HostSpeed::default();
        let mut sampler = Sampler::new(2);
        let mut sum = 0.0;
        let mut now_ms = 0;
        for _ in 0..50 {
            now_ms = run(&mut speed, &mut sampler, now_ms, 20, 1.0, deviation);
            sum += f64::from(speed.permille(now_ms));
        }
        let mean = sum / 50.0;
        assert!((930.0..1_070.0).contains(&mean), "{deviation}: {mean}");
    }
}

#[test]
fn a_host_that_turns_slow_is_found_within_ten_runs() {
    let mut speed = HostSpeed::default();
    let mut sampler = Sampler::new(3);
    let now_ms = run(&mut speed, &mut sampler, 0, 100, 1.0, 0.3);
    let now_ms = run(&mut speed, &mut sampler, now_ms, 10, 5.0, 0.3);
    let permille = speed.permille(now_ms);
    assert!(permille < 400, "{permille}");
}

#[test]
fn one_long_run_does_not_make_a_host_slow() {
    let mut speed = HostSpeed::default();
    let mut sampler = Sampler::new(4);
    let now_ms = run(&mut speed, &mut sampler, 0, 100, 1.0, 0.3);
    let before = speed.permille(now_ms);
    let long_run = SpeedSample {
        expected_ms: MEDIAN_MS,
        elapsed_ms: MEDIAN_MS * 10.0,
        weight: 1.0,
        log_deviation: 0.3,
    };
    speed.add_sample(now_ms, &long_run);
    let after = speed.permille(now_ms);
    assert!(
        f64::from(after) > f64::from(before) * 0.6,
        "{before} {after}"
    );
    let now_ms = run(&mut speed, &mut sampler, now_ms, 10, 1.0, 0.3);
    let later = speed.permille(now_ms);
    assert!(
        f64::from(later) > f64::from(before) * 0.8,
        "{before} {later}"
    );
}

#[test]
fn a_host_without_runs_returns_to_normal_and_becomes_uncertain() {
    let mut speed = HostSpeed::default();
    let mut sampler = Sampler::new(5);
    let now_ms = run(&mut speed, &mut sampler, 0, 100, 5.0, 0.3);
    let certain = speed.log_deviation(now_ms);
    assert!(speed.permille(now_ms) < 300);
    assert!(speed.permille(now_ms + 20_000) > 900);
    assert!(speed.log_deviation(now_ms + 20_000) > 3.0 * certain);
}

#[test]
fn the_reference_speed_leaves_out_hosts_that_a_fault_slows_down() {
    let mut speeds = [1_000, 1_200, 150, 1_100, 900, 160, 1_000, 140];
    let reference = reference_speed(&mut speeds);
    assert!((950.0..1_100.0).contains(&reference), "{reference}");
    let mut halved = [500, 600, 550, 450, 500];
    let reference = reference_speed(&mut halved);
    assert!((480.0..560.0).contains(&reference), "{reference}");
    assert_eq!(reference_speed(&mut []), 1_000.0);
}
