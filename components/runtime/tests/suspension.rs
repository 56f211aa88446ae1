//! Requests around a suspension of the process.

use runtime::SuspensionWatch;

const MIN_GAP_MS: u64 = 400;
const BACKLOG_MS: u64 = 100;

fn watch() -> SuspensionWatch {
    SuspensionWatch::new(1_000, MIN_GAP_MS, BACKLOG_MS)
}

#[test]
fn a_short_gap_is_no_suspension() {
    let watch = watch();
    assert_eq!(watch.record_reading(1_399), None);
    assert!(!watch.is_from_before(1_399));
}

#[test]
fn requests_read_right_after_a_suspension_may_have_been_sent_before() {
    let watch = watch();
    assert_eq!(watch.record_reading(2_000), Some(1_000));
    assert!(watch.is_from_before(2_050));
    assert!(!watch.is_from_before(2_100));
}

// A request that waits for the first configuration may outlast a suspension and the time after it.
#[test]
fn a_request_that_was_read_before_a_suspension_stays_outdated() {
    let watch = watch();
    let read_ms = 1_100;
    assert_eq!(watch.record_reading(read_ms), None);
    assert_eq!(watch.record_reading(1_700), Some(600));
    assert_eq!(watch.record_reading(1_900), None);
    assert!(watch.is_from_before(read_ms));
}
