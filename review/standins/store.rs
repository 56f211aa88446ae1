//! The platform's store: keys, watches, transactions and leases, as PROTOCOL describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::kit::http::{self, Reply, Request};
use crate::kit::json::{self, Json, num, obj, text};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Json)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, u64)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn encode(key: &str, item: &Item) -> Json {
    obj(vec![
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), encode(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = obj(vec![
                ("key", text(key)),
                ("revision", num(self.revision)),
                ("deleted", Json::Bool(true)),
            ]);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

impl Store {
    pub fn start() -> Store {
        let state = State {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
            leases: BTreeMap::new(),
            next_lease: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let serving = Arc::clone(&shared);
        let address = http::serve(move |request, _| answer(&serving, request));
        Store { address, shared }
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.write(key, &json::base64(value.write().as_bytes()), 0);
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    state.expire();
    let method = request.method.as_str();
    match (method, request.path.as_str()) {
        ("GET", "/kv-key") => {
            let key = request.query("key");
            match state.items.get(&key) {
                Some(item) => {
                    let Json::Obj(mut fields) = encode(&key, item) else {
                        unreachable!()
                    };
                    fields.push(("atRevision".to_owned(), num(state.revision)));
                    http::json(200, &Json::Obj(fields))
                }
                None => http::json(404, &obj(vec![])),
            }
        }
        ("GET", "/kv-range") => {
            let prefix = request.query("prefix");
            let items = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let items = items.map(|(key, item)| encode(key, item)).collect();
            let body = obj(vec![
                ("items", Json::Arr(items)),
                ("hasMore", Json::Bool(false)),
                ("atRevision", num(state.revision)),
            ]);
            http::json(200, &body)
        }
        ("GET", "/kv-watch") => {
            let prefix = request.query("prefix");
            let after: u64 = request.query("after").parse().unwrap_or(0);
            let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
            loop {
                state.expire();
                let later = state.history.iter();
                let events: Vec<Json> = later
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(_, _, event)| event.clone())
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let body = obj(vec![
                        ("events", Json::Arr(events)),
                        ("atRevision", num(state.revision)),
                    ]);
                    return http::json(200, &body);
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        ("POST", "/kv-txn") => {
            let Some(body) = json::parse(&request.body) else {
                return http::json(400, &obj(vec![]));
            };
            for put in body.arr("puts") {
                let lease = put.u64("lease").unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return http::json(404, &obj(vec![]));
                }
                let key = put.str("key").unwrap_or_default();
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return http::json(403, &obj(vec![]));
                }
            }
            state.revision += 1;
            for put in body.arr("puts") {
                let key = put.str("key").unwrap_or_default().to_owned();
                let value = put.str("value").unwrap_or_default().to_owned();
                state.write(&key, &value, put.u64("lease").unwrap_or(0));
            }
            let body = obj(vec![("revision", num(state.revision))]);
            drop(state);
            changed.notify_all();
            http::json(200, &body)
        }
        ("POST", "/kv-lease") => {
            let ttl_ms = json::parse(&request.body).and_then(|body| body.u64("ttlMs"));
            let ttl_ms = ttl_ms.unwrap_or(1_000).clamp(1_000, 600_000);
            state.next_lease += 1;
            let lease = state.next_lease;
            let until = Instant::now() + Duration::from_millis(ttl_ms);
            state.leases.insert(lease, (until, ttl_ms));
            http::json(
                200,
                &obj(vec![("lease", num(lease)), ("ttlMs", num(ttl_ms))]),
            )
        }
        ("POST", path) if path.starts_with("/kv-keep/") => {
            let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&lease) {
                Some((until, ttl_ms)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl_ms);
                    http::json(200, &obj(vec![]))
                }
                None => http::json(404, &obj(vec![])),
            }
        }
        _ => http::json(404, &obj(vec![])),
    }
}
