//! Tests that log lines are limited in rate and memory and that a stalled reader does not block.

use std::fs::File;
use std::io::Read;
use std::os::unix::net::UnixStream;

use runtime::{LineSink, MAX_LINE_BYTES};

#[test]
fn lines_over_the_rate_limit_are_dropped_and_counted() {
    let mut sink = LineSink::new(10);
    for _ in 0..25 {
        sink.push(5_000, "line");
    }
    sink.push(6_000, "line of the next second");
    let counts = sink.counts();
    assert_eq!((counts.lines, counts.over_rate), (26, 15));
}

#[test]
fn stalled_reader_does_not_block_and_buffer_stays_bounded() {
    let (writer, mut reader) = UnixStream::pair().expect("a pair");
    let mut output = File::from(std::os::fd::OwnedFd::from(writer));
    let mut sink = LineSink::new(u64::MAX);
    let line = "x".repeat(1_000);
    for round in 0..2_000 {
        sink.push(round, &line);
        sink.flush_to(&mut output);
    }
    let counts = sink.counts();
    assert!(counts.over_buffer > 500, "{counts:?}");
    let mut buffer = vec![0; 64 * 1_024];
    assert!(reader.read(&mut buffer).expect("bytes") > 0);
    sink.flush_to(&mut output);
}

#[test]
fn long_line_is_truncated_at_a_character_boundary() {
    let (writer, mut reader) = UnixStream::pair().expect("a pair");
    let mut output = File::from(std::os::fd::OwnedFd::from(writer));
    let mut sink = LineSink::new(10);
    sink.push(0, &"ä".repeat(MAX_LINE_BYTES));
    sink.flush_to(&mut output);
    drop(output);
    let mut written = String::new();
    reader.read_to_string(&mut written).expect("text");
    assert!(written.len() <= MAX_LINE_BYTES && written.ends_with('\n'));
}
