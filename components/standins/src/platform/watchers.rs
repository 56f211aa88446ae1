//! Open watches and the streams of changes to their clients.

use bytes::Bytes;
use platform::wire::{Header, StreamMessage, WatchCreate, WatchResponse};
use web::{LineReceiver, LineSender, line_channel};

use super::store::{Change, in_range};

/// Maximum number of queued messages per watch; the watch of a slower client is ended.
const MAX_QUEUED_MESSAGES: usize = 20_000;

struct Watcher {
    create: WatchCreate,
    sender: LineSender,
}

#[derive(Default)]
pub(super) struct Watchers(Vec<Watcher>);

impl Watchers {
    /// Adds a watch, confirms it and sends the past changes that it requests.
    pub(super) fn add(
        &mut self,
        create: WatchCreate,
        header: Header,
        past_changes: &[Change],
    ) -> LineReceiver {
        let (sender, receiver) = line_channel(MAX_QUEUED_MESSAGES);
        let watcher = Watcher { create, sender };
        let confirmation = WatchResponse {
            header,
            created: true,
            ..WatchResponse::default()
        };
        let mut is_open = watcher.send(confirmation);
        for change in past_changes {
            is_open = is_open && watcher.notify(change);
        }
        if is_open {
            self.0.push(watcher);
        }
        receiver
    }

    /// Sends a change to every watch that includes one of its keys.
    pub(super) fn notify(&mut self, change: &Change) {
        self.0.retain(|watcher| watcher.notify(change));
    }

    /// Ends all watches.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of watches whose client is connected.
    pub(super) fn count(&mut self) -> u64 {
        self.0.retain(|watcher| !watcher.sender.is_closed());
        self.0.len() as u64
    }
}

impl Watcher {
    /// Sends the events of a change that the watch includes; returns `false` if the watch ended.
    fn notify(&self, change: &Change) -> bool {
        if change.revision < self.create.start_revision {
            return true;
        }
        let create = &self.create;
        let events = change.events.iter();
        let events = events.filter(|e| in_range(&e.kv.key.0, &create.key, &create.range_end));
        let events: Vec<_> = events.cloned().collect();
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

/// Returns a stream that confirms a watch and then ends it because its revision was compacted.
pub(super) fn compacted_stream(header: Header, oldest_revision: u64) -> LineReceiver {
    let (sender, receiver) = line_channel(MAX_QUEUED_MESSAGES);
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
            .expect("a new channel has room for two lines");
    }
    receiver
}

fn encode(response: WatchResponse) -> Bytes {
    let message = StreamMessage { result: response };
    let line = serde_json::to_vec(&message).expect("the message is serializable as JSON");
    Bytes::from(line)
}
