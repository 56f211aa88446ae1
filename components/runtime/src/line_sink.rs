//! Log lines on their way to a reader that may be slow.

use std::collections::VecDeque;
use std::io::Write;
use std::os::fd::{AsFd, AsRawFd};

use nix::poll::{PollFd, PollFlags, poll};

/// Longest line, in bytes; a pipe takes this much at once whenever it takes anything.
pub const MAX_LINE_BYTES: usize = 4_096;

/// Lines that are kept for a reader that has stopped reading, in bytes.
const MAX_KEPT_BYTES: usize = 256 * 1_024;

/// What became of the lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SinkCounts {
    /// Lines handed in.
    pub lines: u64,
    /// Lines left out because there were too many in a second.
    pub over_rate: u64,
    /// Lines left out because the reader was too slow.
    pub over_buffer: u64,
}

/// Lines that wait to be written; bounded in rate and in memory.
#[derive(Debug)]
pub struct LineSink {
    kept: VecDeque<Vec<u8>>,
    kept_bytes: usize,
    lines_per_s: u64,
    second: u64,
    lines_in_second: u64,
    counts: SinkCounts,
}

impl LineSink {
    /// Creates a sink that takes at most `lines_per_s` lines in each second.
    #[must_use]
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            kept: VecDeque::new(),
            kept_bytes: 0,
            lines_per_s,
            second: 0,
            lines_in_second: 0,
            counts: SinkCounts::default(),
        }
    }

    /// Returns what became of the lines so far.
    #[must_use]
    pub fn counts(&self) -> SinkCounts {
        self.counts
    }

    /// Takes a line, or counts it as left out; a long one is cut.
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
        if self.kept_bytes + end + 1 > MAX_KEPT_BYTES {
            self.counts.over_buffer += 1;
            return;
        }
        let mut bytes = Vec::with_capacity(end + 1);
        bytes.extend_from_slice(&line.as_bytes()[..end]);
        bytes.push(b'\n');
        self.kept_bytes += bytes.len();
        self.kept.push_back(bytes);
    }

    /// Writes as many lines as the reader takes without blocking.
    pub fn flush_to(&mut self, output: &mut (impl Write + AsFd)) {
        while let Some(batch) = self.next_batch() {
            if !takes_more(output) {
                return;
            }
            let written = output.write_all(&batch).and_then(|()| output.flush());
            if written.is_err() {
                return;
            }
            self.drop_written(batch.len());
        }
    }

    /// Returns whole lines of together at most [`MAX_LINE_BYTES`].
    fn next_batch(&self) -> Option<Vec<u8>> {
        let mut batch = Vec::new();
        for line in &self.kept {
            if batch.len() + line.len() > MAX_LINE_BYTES {
                break;
            }
            batch.extend_from_slice(line);
        }
        (!batch.is_empty()).then_some(batch)
    }

    fn drop_written(&mut self, mut bytes: usize) {
        self.kept_bytes -= bytes;
        while bytes > 0 {
            let Some(line) = self.kept.pop_front() else {
                return;
            };
            bytes -= line.len();
        }
    }
}

fn takes_more(output: &impl AsFd) -> bool {
    let mut asked = [PollFd::new(output.as_fd().as_raw_fd(), PollFlags::POLLOUT)];
    let is_ready = poll(&mut asked, 0).is_ok_and(|count| count > 0);
    is_ready
        && asked[0]
            .revents()
            .is_some_and(|events| events.contains(PollFlags::POLLOUT))
}
