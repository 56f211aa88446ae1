//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reply, Server};
use crate::json::Json;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Json)>,
    revision: u64,
    next_lease: u64,
    /// Duration and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        self.state.0.lock().unwrap().revision = 100;
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.answer(request)))
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, key, &base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        expire(&mut state);
        let query = |name: &str| request.query(name).unwrap_or_default();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method(), request.path()) {
            ("GET", "/kv-key") => {
                let key = query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut found = encode(&key, item);
                        set(&mut found, "atRevision", state.revision.into());
                        Reply::Answer(200, found.to_string())
                    }
                    None => Reply::Answer(404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| after.is_empty() || **key > after);
                let items = found.map(|(key, item)| encode(key, item)).collect();
                let answer = Json::object([
                    ("items", Json::List(items)),
                    ("hasMore", false.into()),
                    ("atRevision", state.revision.into()),
                ]);
                Reply::Answer(200, answer.to_string())
            }
            ("GET", "/kv-watch") => {
                let prefix = query("prefix");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait_ms: u64 = query("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                loop {
                    expire(&mut state);
                    let later = state.history.iter();
                    let events: Vec<Json> = later
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let answer = Json::object([
                            ("events", Json::List(events)),
                            ("atRevision", state.revision.into()),
                        ]);
                        return Reply::Answer(200, answer.to_string());
                    }
                    let slice = left.min(Duration::from_millis(200));
                    state = self.state.1.wait_timeout(state, slice).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => self.transact(&mut state, &body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body.number("ttlMs").unwrap_or(1_000).clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                let answer = Json::object([("lease", lease.into()), ("ttlMs", ttl_ms.into())]);
                Reply::Answer(200, answer.to_string())
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        Reply::Answer(200, "{}".to_owned())
                    }
                    None => Reply::Answer(404, "{}".to_owned()),
                }
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn transact(&self, state: &mut State, body: &Json) -> Reply {
        for row in body.list("expect") {
            let key = row.text("key").unwrap_or_default();
            let present = state.items.get(key).map_or(0, |item| item.revision);
            if row.number("revision") != Some(present) {
                return Reply::Answer(412, "{\"items\":[]}".to_owned());
            }
        }
        let leases = || body.list("puts").iter().filter_map(|put| put.number("lease"));
        if leases().any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
            return Reply::Answer(404, "{}".to_owned());
        }
        for put in body.list("puts") {
            let key = put.text("key").unwrap_or_default().to_owned();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return Reply::Answer(403, "{}".to_owned());
            }
            let value = put.text("value").unwrap_or_default().to_owned();
            write(state, &key, &value, put.number("lease").unwrap_or(0));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                remove(state, key);
            }
        }
        self.state.1.notify_all();
        let answer = Json::object([("revision", state.revision.into())]);
        Reply::Answer(200, answer.to_string())
    }
}

fn expire(state: &mut State) {
    let now = Instant::now();
    let ended: Vec<u64> = state
        .leases
        .iter()
        .filter(|(_, (_, end))| *end <= now)
        .map(|(lease, _)| *lease)
        .collect();
    for lease in ended {
        state.leases.remove(&lease);
        let of_lease = state.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            remove(state, &key);
        }
    }
}

fn write(state: &mut State, key: &str, value: &str, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value: value.to_owned(),
        revision,
        created,
        lease,
    };
    state.history.push((revision, key.to_owned(), encode(key, &item)));
    state.items.insert(key.to_owned(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let event = Json::object([
            ("key", key.into()),
            ("deleted", true.into()),
            ("revision", state.revision.into()),
        ]);
        state.history.push((state.revision, key.to_owned(), event));
    }
}

fn encode(key: &str, item: &Item) -> Json {
    Json::object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

fn set(value: &mut Json, key: &str, field: Json) {
    if let Json::Object(fields) = value {
        fields.insert(key.to_owned(), field);
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
