//! Watches waiting for changes.

use bytes::Bytes;
use platform::wire::{Header, Streamed, WatchCreate, WatchResponse};
use web::{LineReceiver, LineSender, line_channel};

use super::store::{Change, in_range};

/// Messages that may wait for a slow client before its watch is ended.
const MAX_PENDING: usize = 20_000;

struct Watcher {
    create: WatchCreate,
    sender: LineSender,
}

#[derive(Default)]
pub(super) struct Watchers(Vec<Watcher>);

impl Watchers {
    /// Adds a watch, confirms it and sends the changes that it has missed.
    pub(super) fn add(
        &mut self,
        create: WatchCreate,
        header: Header,
        missed: &[Change],
    ) -> LineReceiver {
        let (sender, receiver) = line_channel(MAX_PENDING);
        let watcher = Watcher { create, sender };
        let confirmation = WatchResponse {
            header,
            created: true,
            ..WatchResponse::default()
        };
        let mut alive = watcher.send(confirmation);
        for change in missed {
            alive = alive && watcher.notify(change);
        }
        if alive {
            self.0.push(watcher);
        }
        receiver
    }

    /// Sends a change to every watch that it concerns.
    pub(super) fn notify(&mut self, change: &Change) {
        self.0.retain(|watcher| watcher.notify(change));
    }

    /// Ends all watches.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of watches whose client is still there.
    pub(super) fn count(&mut self) -> u64 {
        self.0.retain(|watcher| !watcher.sender.is_closed());
        self.0.len() as u64
    }
}

impl Watcher {
    /// Sends the part of a change that the watch asks for; `false` if the watch is over.
    fn notify(&self, change: &Change) -> bool {
        if change.revision < self.create.start_revision {
            return true;
        }
        let create = &self.create;
        let wanted = change.events.iter();
        let wanted = wanted.filter(|e| in_range(&e.kv.key.0, &create.key, &create.range_end));
        let events: Vec<_> = wanted.cloned().collect();
        if events.is_empty() {
            return true;
        }
        let revision = change.revision;
        self.send(WatchResponse {
            header: Header { revision },
            events,
            ..WatchResponse::default()
        })
    }

    fn send(&self, response: WatchResponse) -> bool {
        self.sender.send(encode(response)).is_ok()
    }
}

/// Builds a stream with one message that ends the watch.
pub(super) fn compacted(header: Header, oldest_revision: u64) -> LineReceiver {
    let (sender, receiver) = line_channel(MAX_PENDING);
    let confirmation = WatchResponse {
        header: header.clone(),
        created: true,
        ..WatchResponse::default()
    };
    let end = WatchResponse {
        header,
        canceled: true,
        compact_revision: oldest_revision,
        ..WatchResponse::default()
    };
    for response in [confirmation, end] {
        sender
            .send(encode(response))
            .expect("a new channel takes two lines");
    }
    receiver
}

fn encode(response: WatchResponse) -> Bytes {
    let streamed = Streamed { result: response };
    let line = serde_json::to_vec(&streamed).expect("the message has a JSON form");
    Bytes::from(line)
}
