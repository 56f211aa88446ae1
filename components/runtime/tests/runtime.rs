//! Tests of the executor, the clocks, the log formats, the metrics and the dumps.

use log::Level;
use proptest::prelude::*;
use runtime::{Metrics, Signals, Stop};

#[test]
fn run_returns_the_output_of_the_main_future() {
    let output = runtime::run(async { monoio::spawn(async { 20 }).await + 1 });
    assert_eq!(output.unwrap(), 21);
}

#[test]
fn tokio_timers_fire_on_the_executor() {
    let fired = runtime::run(async {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        true
    });
    assert!(fired.unwrap());
}

#[test]
fn executor_uses_epoll_and_no_io_uring() {
    let links = runtime::run(async {
        let entries = std::fs::read_dir("/proc/self/fd").unwrap();
        let targets = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        targets
            .map(|target| target.to_string_lossy().into_owned())
            .collect::<Vec<_>>()
    })
    .unwrap();
    assert!(links.iter().any(|link| link.contains("eventpoll")));
    assert!(!links.iter().any(|link| link.contains("io_uring")));
}

#[test]
fn stop_wakes_every_waiter() {
    let stopped = runtime::run(async {
        let stop = Stop::new();
        let waiter = monoio::spawn(stop.stopped());
        drop(stop.stopped());
        stop.stop();
        waiter.await;
        stop.stopped().await;
        stop.is_stopped()
    });
    assert!(stopped.unwrap());
}

#[test]
fn dump_request_is_cleared_when_taken_and_drain_request_persists() {
    let signals = Signals::default();
    let shared_signals = signals.clone();
    runtime::run(async move {
        signals.request_dump();
        signals.request_drain();
        signals.dump_requested().await;
        signals.drain_requested().await;
    })
    .unwrap();
    assert!(!shared_signals.take_dump_request());
    assert!(shared_signals.is_drain_requested());
}

#[test]
fn process_keys_differ_and_are_not_zero() {
    assert_ne!(
        runtime::generate_process_key(),
        runtime::generate_process_key()
    );
    assert_ne!(runtime::generate_process_key().0, 0);
}

#[test]
fn instants_follow_the_monotonic_clock() {
    let now_us = runtime::monotonic_us();
    let later = runtime::instant_at(now_us + 1_000_000);
    let gap = later.duration_since(runtime::instant_at(now_us));
    assert_eq!(gap.as_micros(), 1_000_000);
}

#[test]
fn times_are_formatted_as_rfc_3339() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_399_999, "2000-02-28T23:59:59.999Z"),
        (951_782_400_000, "2000-02-29T00:00:00.000Z"),
        (1_709_251_199_001, "2024-02-29T23:59:59.001Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ];
    for (unix_ms, expected) in cases {
        assert_eq!(runtime::format_rfc3339_ms(unix_ms), expected);
    }
}

#[test]
fn metrics_are_encoded_with_their_labels() {
    let metrics = Metrics::new();
    let jobs = metrics
        .counter_vec("jobs_total", "Jobs.", &["firm"])
        .unwrap();
    jobs.with_label_values(&["north"]).inc_by(3);
    let text = metrics.encode().unwrap();
    assert!(text.contains("jobs_total{firm=\"north\"} 3"));
    assert!(metrics.counter("jobs_total", "Jobs.").is_err());
    assert!(metrics.gauge("not a name", "Bad.").is_err());
}

#[test]
fn dump_contains_part_and_state_on_one_line() {
    let mut output = Vec::new();
    runtime::write_dump_to(&mut output, "agent", &vec![1, 2]).unwrap();
    let dump: serde_json::Value = serde_json::from_slice(&output).unwrap();
    assert_eq!(dump["dump"], "agent");
    assert_eq!(dump["state"], serde_json::json!([1, 2]));
    assert_eq!(output.iter().filter(|byte| **byte == b'\n').count(), 1);
}

proptest! {
    #[test]
    fn log_lines_stay_on_one_line(part in ".*", message in "(?s).*") {
        let text = runtime::format_text("now", Level::Warn, "part", &message, &serde_json::Map::new());
        prop_assert!(!text.contains('\n'));
        let json = runtime::format_json("now", Level::Warn, &part, &message, &serde_json::Map::new());
        prop_assert!(!json.contains('\n'));
        let value: serde_json::Value = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(value["message"].as_str().unwrap(), message);
        prop_assert_eq!(value["part"].as_str().unwrap(), part);
    }
}

#[test]
fn installed_handlers_set_the_flags() {
    let signals = Signals::install().unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGUSR1).unwrap();
    assert!(signals.take_dump_request());
    assert!(!signals.is_drain_requested());
    signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
    assert!(signals.is_drain_requested());
}
