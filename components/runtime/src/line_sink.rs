//! Bounded buffer of log lines for an output whose reader may be slow.

use std::collections::VecDeque;
use std::io::Write;
use std::os::fd::{AsFd, AsRawFd};

use nix::poll::{PollFd, PollFlags, poll};

/// Longest line, in bytes; a pipe that polls as writable accepts this much without blocking.
pub const MAX_LINE_BYTES: usize = 4_096;

/// Largest size of the lines buffered while the reader does not read, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// Counts of lines received and dropped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SinkCounts {
    /// Lines passed to [`LineSink::push`].
    pub lines: u64,
    /// Lines dropped because they exceeded the limit per second.
    pub over_rate: u64,
    /// Lines dropped because the buffer was full, as the reader was too slow.
    pub over_buffer: u64,
}

/// Buffer of lines to be written, limited in lines per second and in bytes.
#[derive(Debug)]
pub struct LineSink {
    buffered_lines: VecDeque<Vec<u8>>,
    buffered_bytes: usize,
    lines_per_s: u64,
    second: u64,
    lines_in_second: u64,
    counts: SinkCounts,
}

impl LineSink {
    /// Creates a sink that accepts at most `lines_per_s` lines in each second.
    #[must_use]
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            buffered_lines: VecDeque::new(),
            buffered_bytes: 0,
            lines_per_s,
            second: 0,
            lines_in_second: 0,
            counts: SinkCounts::default(),
        }
    }

    /// Returns the counts since the sink was created.
    #[must_use]
    pub fn counts(&self) -> SinkCounts {
        self.counts
    }

    /// Buffers a line, truncated to [`MAX_LINE_BYTES`], or drops and counts it.
    pub fn push(&mut self, now_ms: u64, line: &str) {
        self.counts.lines += 1;
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        if self.lines_in_second > self.lines_per_s {
            self.counts.over_rate += 1;
            return;
        }
        let mut end = line.len().min(MAX_LINE_BYTES - 1);
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        if self.buffered_bytes + end + 1 > MAX_BUFFERED_BYTES {
            self.counts.over_buffer += 1;
            return;
        }
        let mut bytes = Vec::with_capacity(end + 1);
        bytes.extend_from_slice(&line.as_bytes()[..end]);
        bytes.push(b'\n');
        self.buffered_bytes += bytes.len();
        self.buffered_lines.push_back(bytes);
    }

    /// Writes as many lines as the output accepts without blocking.
    pub fn flush_to(&mut self, output: &mut (impl Write + AsFd)) {
        while let Some(batch) = self.next_batch() {
            if !is_writable(output) {
                return;
            }
            let written = output.write_all(&batch).and_then(|()| output.flush());
            if written.is_err() {
                return;
            }
            self.remove_written(batch.len());
        }
    }

    /// Returns the next whole lines, of at most [`MAX_LINE_BYTES`] in total.
    fn next_batch(&self) -> Option<Vec<u8>> {
        let mut batch = Vec::new();
        for line in &self.buffered_lines {
            if batch.len() + line.len() > MAX_LINE_BYTES {
                break;
            }
            batch.extend_from_slice(line);
        }
        (!batch.is_empty()).then_some(batch)
    }

    fn remove_written(&mut self, mut bytes: usize) {
        self.buffered_bytes -= bytes;
        while bytes > 0 {
            let Some(line) = self.buffered_lines.pop_front() else {
                return;
            };
            bytes -= line.len();
        }
    }
}

fn is_writable(output: &impl AsFd) -> bool {
    let mut poll_fds = [PollFd::new(output.as_fd().as_raw_fd(), PollFlags::POLLOUT)];
    let is_ready = poll(&mut poll_fds, 0).is_ok_and(|count| count > 0);
    is_ready
        && poll_fds[0]
            .revents()
            .is_some_and(|events| events.contains(PollFlags::POLLOUT))
}
