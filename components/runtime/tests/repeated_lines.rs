//! Log lines of one cause.

use runtime::RepeatedLines;

// 4,600 lines of tasks turned back in ten seconds used up the limit of lines.
#[test]
fn a_burst_gives_one_line_a_second_that_counts_all_events() {
    let mut lines = RepeatedLines::default();
    let mut counts = Vec::new();
    for event in 0..4_600_u64 {
        let now_ms = event * 10_000 / 4_600;
        counts.extend(lines.record(now_ms, "no_room"));
        counts.extend(lines.take_due(now_ms).into_iter().map(|(_, count)| count));
    }
    counts.extend(lines.take_due(20_000).into_iter().map(|(_, count)| count));
    assert_eq!(counts.len(), 11, "{counts:?}");
    assert_eq!(counts.iter().sum::<u64>(), 4_600);
}

// A single event must not wait for a sum.
#[test]
fn rare_events_are_logged_immediately_and_separately() {
    let mut lines = RepeatedLines::default();
    assert_eq!(lines.record(0, "reset"), Some(1));
    assert_eq!(lines.record(10, "refused"), Some(1));
    assert_eq!(lines.take_due(1_000), []);
    assert_eq!(lines.record(1_000, "reset"), Some(1));
}

// The events after the last line of a burst would never be logged.
#[test]
fn the_events_after_a_line_are_due_a_second_later_without_a_further_event() {
    let mut lines = RepeatedLines::default();
    assert_eq!(lines.record(0, "reset"), Some(1));
    assert_eq!(lines.record(10, "reset"), None);
    assert_eq!(lines.record(20, "reset"), None);
    assert_eq!(lines.take_due(999), []);
    assert_eq!(lines.take_due(1_000), [("reset", 2)]);
    assert_eq!(lines.take_due(2_000), []);
}

// The last failures before a store answered again were never logged: nothing asked for their count.
#[test]
fn the_events_at_the_end_of_a_series_are_drained_before_their_line_is_due() {
    let mut lines = RepeatedLines::default();
    assert_eq!(lines.record(0, "reset"), Some(1));
    assert_eq!(lines.drain(5), []);
    assert_eq!(lines.record(10, "reset"), None);
    assert_eq!(lines.record(20, "reset"), None);
    assert_eq!(lines.drain(30), [("reset", 2)]);
    assert_eq!(lines.drain(2_000), []);
    assert_eq!(lines.record(40, "reset"), None);
    assert_eq!(lines.take_due(1_030), [("reset", 1)]);
}
