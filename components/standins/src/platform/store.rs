//! Key-value store with revisions, leases and a history of changes.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use platform::wire::{
    Base64Bytes, ChangeResponse, Compare, CompareResult, CompareTarget, Event, EventType, Header,
    KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest,
    TxnResponse,
};

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Reason why a transaction or a lease call was rejected without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreError {
    LeaseNotFound,
    ValueTooLarge,
}

/// Changes of one revision.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) events: Vec<Event>,
}

struct Lease {
    ttl_s: u64,
    expires_at_ms: u64,
}

pub(super) struct Store {
    revision: u64,
    keys: BTreeMap<Bytes, KeyValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease_id: u64,
    history: VecDeque<Change>,
    max_history: usize,
    compacted_revision: u64,
}

/// Returns whether a key is in a range of the API: an empty end selects the single key `start`, a
/// single zero byte all keys from `start` on.
pub(super) fn in_range(key: &[u8], start: &Base64Bytes, end: &Base64Bytes) -> bool {
    match end.0.as_ref() {
        [] => key == start.0.as_ref(),
        [0] => key >= start.0.as_ref(),
        end => key >= start.0.as_ref() && key < end,
    }
}

impl Store {
    pub(super) fn new(max_history: usize) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease_id: 1,
            history: VecDeque::new(),
            max_history,
            compacted_revision: 0,
        }
    }

    pub(super) fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let from_start = self.keys.range(request.key.0.clone()..);
        let within =
            from_start.take_while(|(key, _)| in_range(key, &request.key, &request.range_end));
        let kvs: Vec<_> = within.map(|(_, kv)| kv.clone()).collect();
        RangeResponse {
            header: self.header(),
            count: kvs.len() as u64,
            kvs,
        }
    }

    /// Applies a transaction atomically at one revision.
    pub(super) fn txn(
        &mut self,
        request: &TxnRequest,
    ) -> Result<(TxnResponse, Option<Change>), StoreError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        operations.iter().try_for_each(|op| self.validate(op))?;
        let mut events = Vec::new();
        let revision = self.revision + 1;
        let responses = operations
            .iter()
            .map(|op| self.apply(op, revision, &mut events))
            .collect();
        let change = self.commit(events);
        let response = TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        };
        Ok((response, change))
    }

    /// Returns the changes from `revision` on; fails with the oldest available revision if
    /// `revision` was compacted.
    pub(super) fn changes_since(&self, revision: u64) -> Result<Vec<Change>, u64> {
        if revision <= self.compacted_revision {
            return Err(self.compacted_revision + 1);
        }
        let changes = self.history.iter();
        let selected = changes.filter(|change| change.revision >= revision);
        Ok(selected.cloned().collect())
    }

    /// Grants a lease and returns its ID; returns `None` if the ID is in use.
    pub(super) fn grant(&mut self, id: u64, ttl_s: u64, now_ms: u64) -> Option<u64> {
        let id = if id == 0 { self.unused_lease_id() } else { id };
        if self.leases.contains_key(&id) {
            return None;
        }
        let expires_at_ms = now_ms + ttl_s * 1_000;
        let lease = Lease {
            ttl_s,
            expires_at_ms,
        };
        self.leases.insert(id, lease);
        Some(id)
    }

    /// Renews a lease and returns its time to live, in seconds; returns `None` if it does not
    /// exist.
    pub(super) fn keep_alive(&mut self, id: u64, now_ms: u64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at_ms = now_ms + lease.ttl_s * 1_000;
        Some(lease.ttl_s)
    }

    pub(super) fn revoke(&mut self, id: u64) -> Result<Option<Change>, StoreError> {
        let lease = self.leases.remove(&id);
        lease.ok_or(StoreError::LeaseNotFound)?;
        let attached = self.keys.values().filter(|kv| kv.lease == id);
        let keys: Vec<_> = attached.map(|kv| kv.key.0.clone()).collect();
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for key in keys {
            self.remove(&key, revision, &mut events);
        }
        Ok(self.commit(events))
    }

    /// Returns the leases that have expired.
    pub(super) fn expired_leases(&self, now_ms: u64) -> Vec<u64> {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at_ms <= now_ms);
        expired.map(|(id, _)| *id).collect()
    }

    /// Makes every lease expire immediately.
    pub(super) fn expire_all_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.expires_at_ms = 0;
        }
    }

    fn unused_lease_id(&mut self) -> u64 {
        while self.leases.contains_key(&self.next_lease_id) {
            self.next_lease_id += 1;
        }
        self.next_lease_id
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let missing = KeyValue::default();
        let stored = self.keys.get(&compare.key.0);
        let kv = stored.unwrap_or(&missing);
        let ordering = match compare.target {
            CompareTarget::Version => kv.version.cmp(&compare.version),
            CompareTarget::Create => kv.create_revision.cmp(&compare.create_revision),
            CompareTarget::Mod => kv.mod_revision.cmp(&compare.mod_revision),
            CompareTarget::Value if stored.is_none() => return false,
            CompareTarget::Value => kv.value.cmp(&compare.value),
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    fn validate(&self, operation: &RequestOp) -> Result<(), StoreError> {
        let Some(put) = &operation.request_put else {
            return Ok(());
        };
        if put.value.0.len() > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge);
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    fn apply(
        &mut self,
        operation: &RequestOp,
        revision: u64,
        events: &mut Vec<Event>,
    ) -> ResponseOp {
        let mut response = ResponseOp::default();
        if let Some(request) = &operation.request_range {
            response.response_range = Some(self.range(request));
        }
        if let Some(put) = &operation.request_put {
            self.put(put, revision, events);
            response.response_put = Some(ChangeResponse::default());
        }
        if let Some(request) = &operation.request_delete_range {
            let keys = self.range(request).kvs;
            for kv in &keys {
                self.remove(&kv.key.0, revision, events);
            }
            let deleted = keys.len() as u64;
            response.response_delete_range = Some(ChangeResponse {
                deleted,
                ..ChangeResponse::default()
            });
        }
        response
    }

    fn put(&mut self, put: &PutRequest, revision: u64, events: &mut Vec<Event>) {
        let previous = self.keys.get(&put.key.0);
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: previous.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |kv| kv.version + 1),
            lease: put.lease,
        };
        self.keys.insert(put.key.0.clone(), kv.clone());
        let kind = EventType::Put;
        events.push(Event { kind, kv });
    }

    fn remove(&mut self, key: &Bytes, revision: u64, events: &mut Vec<Event>) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let kv = KeyValue {
            key: Base64Bytes(key.clone()),
            mod_revision: revision,
            ..KeyValue::default()
        };
        let kind = EventType::Delete;
        events.push(Event { kind, kv });
    }

    fn commit(&mut self, events: Vec<Event>) -> Option<Change> {
        if events.is_empty() {
            return None;
        }
        self.revision += 1;
        let revision = self.revision;
        let change = Change { revision, events };
        self.history.push_back(change.clone());
        if self.history.len() > self.max_history
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
        Some(change)
    }
}
