//! Counters of frames and bytes on the connections of a process.

use std::cell::Cell;
use std::rc::Rc;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: u64 = 4;

/// Counts frames and bytes on connections; clones share their counts.
///
/// Bytes include the length prefix of each frame, but neither hellos nor TCP headers.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counts: Rc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent_frames: Cell<u64>,
    sent_bytes: Cell<u64>,
    received_frames: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl Traffic {
    /// Returns the number of frames sent.
    #[must_use]
    pub fn sent_frames(&self) -> u64 {
        self.counts.sent_frames.get()
    }

    /// Returns the number of bytes sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.counts.sent_bytes.get()
    }

    /// Returns the number of frames received.
    #[must_use]
    pub fn received_frames(&self) -> u64 {
        self.counts.received_frames.get()
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.counts.received_bytes.get()
    }

    /// Returns the name and value of each counter.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("sent_frames", self.sent_frames()),
            ("sent_bytes", self.sent_bytes()),
            ("received_frames", self.received_frames()),
            ("received_bytes", self.received_bytes()),
        ]
        .into_iter()
    }

    pub(crate) fn sent(&self, frame_bytes: usize) {
        increase(&self.counts.sent_frames, 1);
        increase(
            &self.counts.sent_bytes,
            frame_bytes as u64 + LENGTH_PREFIX_BYTES,
        );
    }

    pub(crate) fn received(&self, frame_bytes: usize) {
        increase(&self.counts.received_frames, 1);
        increase(
            &self.counts.received_bytes,
            frame_bytes as u64 + LENGTH_PREFIX_BYTES,
        );
    }
}

fn increase(count: &Cell<u64>, by: u64) {
    count.set(count.get() + by);
}
