//! Transfer of a configuration from peers in parts.
//!
//! Handles configurations that a link carries more slowly than a call may take: each part is a call of
//! its own, and what has been received is kept when a peer fails.

use crate::limits::{MAX_CONFIGURATION_BYTES, RESUMABLE_PERIOD_MS};

/// A part of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part<'a> {
    /// Revision of the configuration.
    pub revision: u64,
    /// Size of the whole configuration, in bytes.
    pub total_bytes: usize,
    /// Position of the part, in bytes.
    pub offset_bytes: usize,
    /// Content of the part.
    pub content: &'a [u8],
}

/// The part to request next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPart {
    /// Revision of the configuration.
    pub revision: u64,
    /// Position of the part, in bytes.
    pub offset_bytes: usize,
}

/// A configuration that is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Downloaded {
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration as published.
    pub published: Vec<u8>,
}

/// The newest configuration that is being transferred, if any.
#[derive(Debug, Default, Clone)]
pub struct Download {
    /// Revision of the configuration; 0 if none is being transferred.
    revision: u64,
    total_bytes: usize,
    received: Vec<u8>,
    /// End of the time in which what was received may be continued.
    resumable_until_ms: u64,
    /// Whether parts are being requested.
    is_running: bool,
}

impl Download {
    /// Returns the revision that is being transferred; 0 if there is none.
    #[must_use]
    pub fn revision(&self, now_ms: u64) -> u64 {
        if now_ms < self.resumable_until_ms {
            self.revision
        } else {
            0
        }
    }

    /// Takes a part; returns the configuration if it is complete.
    ///
    /// Parts of older revisions, and those that do not continue what was received, are ignored.
    pub fn add(&mut self, now_ms: u64, part: Part<'_>) -> Option<Downloaded> {
        let current = self.revision(now_ms);
        let is_newer = part.revision > current && part.offset_bytes == 0;
        if is_newer && part.total_bytes <= MAX_CONFIGURATION_BYTES {
            self.revision = part.revision;
            self.total_bytes = part.total_bytes;
            self.received.clear();
        } else if part.revision != current || part.total_bytes != self.total_bytes {
            return None;
        }
        let end_bytes = self.received.len() + part.content.len();
        let is_next = part.offset_bytes == self.received.len() && !part.content.is_empty();
        if !is_next || end_bytes > self.total_bytes {
            return None;
        }
        self.received.extend_from_slice(part.content);
        self.resumable_until_ms = now_ms + RESUMABLE_PERIOD_MS;
        if end_bytes < self.total_bytes {
            return None;
        }
        let published = std::mem::take(&mut self.received);
        let revision = self.revision;
        self.forget();
        Some(Downloaded {
            revision,
            published,
        })
    }

    /// Returns whether the caller should request parts from a peer with this revision, and records that
    /// it does until [`Self::stop`].
    pub fn start(&mut self, now_ms: u64, peer_revision: u64) -> bool {
        let has_parts = peer_revision > 0 && self.revision(now_ms) == peer_revision;
        let is_started = has_parts && !self.is_running;
        self.is_running |= is_started;
        is_started
    }

    /// Records that no parts are being requested any more.
    pub fn stop(&mut self) {
        self.is_running = false;
    }

    /// Returns the part to request next, if a configuration is being transferred.
    #[must_use]
    pub fn next_part(&self, now_ms: u64) -> Option<NextPart> {
        let revision = self.revision(now_ms);
        (revision > 0).then_some(NextPart {
            revision,
            offset_bytes: self.received.len(),
        })
    }

    /// Ends the transfer of a configuration that is not newer than the one in force.
    pub fn discard_up_to(&mut self, revision: u64) {
        if self.revision <= revision {
            self.received = Vec::new();
            self.forget();
        }
    }

    fn forget(&mut self) {
        self.revision = 0;
        self.resumable_until_ms = 0;
    }
}
