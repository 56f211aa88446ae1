//! Follows the evacuated failure domains, in the store and at entries, and passes them on to entries.

use std::cell::RefCell;
use std::rc::Rc;

use adapter::{EVACUATIONS_PREFIX, evacuated_failure_domain};
use model::{
    Evacuations, EvacuationsDigest, EvacuationsReport, KnownEvacuations, ProcessKey,
    names_in_one_text,
};
use platform::StoreError;
use runtime::{Backoff, pause_after_failure};

use crate::process::Shared;

/// How long a watch waits for a change, in milliseconds.
///
/// A long wait costs the store little. A silent connection is noticed late, but entries pass sets on
/// to the agent.
const WATCH_WAIT_MS: u64 = 20_000;

/// Pause before the keys are listed again after the first failed call or a change that may have been
/// missed, in milliseconds.
const MIN_RELIST_PAUSE_MS: u64 = 500;

/// Longest pause before the keys are listed again, in milliseconds. A fleet has many agents, and
/// entries pass sets on to them while the store fails.
const MAX_RELIST_PAUSE_MS: u64 = 5_000;

/// What an agent knows of evacuations.
#[derive(Default)]
pub(crate) struct EvacuationState {
    known: RefCell<KnownEvacuations>,
}

impl EvacuationState {
    /// Returns the newest set.
    pub(crate) fn newest(&self) -> Option<Evacuations> {
        self.known.borrow().get().cloned()
    }

    /// Returns whether the entry that sent this digest has an older set that differs.
    pub(crate) fn has_newer_than(&self, entry: Option<EvacuationsDigest>) -> bool {
        entry.is_some_and(|entry| self.known.borrow().update_for(entry).is_some())
    }

    fn report_to(&self, entry: EvacuationsDigest) -> EvacuationsReport {
        let known = self.known.borrow();
        EvacuationsReport {
            digest: known.digest(),
            newer: known.update_for(entry).cloned(),
        }
    }
}

/// Follows the keys in the store; returns at once if the settings give no bound.
pub(crate) async fn follow(shared: Rc<Shared>) {
    if shared.settings().evacuation_bound_ms.is_none() {
        return;
    }
    let mut is_store_lost = false;
    let mut backoff = Backoff::builder(MIN_RELIST_PAUSE_MS, MAX_RELIST_PAUSE_MS)
        .seed(shared.key.0)
        .build();
    loop {
        let followed = shared.store.follow_keys(
            EVACUATIONS_PREFIX,
            WATCH_WAIT_MS,
            // Listings alone may succeed at a store that fails every watch.
            |call, is_ok| {
                if call == "watch" && is_ok {
                    backoff.record_success();
                }
            },
            |revision, keys| {
                let names = keys.iter().filter_map(|key| evacuated_failure_domain(key));
                merge(
                    &shared,
                    Evacuations::new(revision, names.map(Rc::from)),
                    "store",
                );
            },
        );
        let error = followed.await.err();
        let was_store_lost = is_store_lost;
        is_store_lost = error.as_ref().is_some_and(|at| *at != StoreError::Missing);
        if let Some(error) = error.filter(|_| is_store_lost && !was_store_lost) {
            log::warn!(target: "sidecar", event = "evacuations_unavailable",
                reason = error.to_string();
                "evacuations cannot be read from the store; entries pass them on");
        }
        pause_after_failure(&mut backoff).await;
    }
}

/// Takes a set that an entry has sent.
pub(crate) fn entry_shared(shared: &Rc<Shared>, from: ProcessKey, evacuations: Evacuations) {
    if shared.settings().evacuation_bound_ms.is_some() {
        merge(shared, evacuations, &from.to_string());
    }
}

/// Processes the digest of an update request.
pub(crate) fn entry_reported(shared: &Shared, digest: Option<EvacuationsDigest>) {
    if let Some(digest) = digest {
        shared.evacuations.known.borrow_mut().confirm(digest);
    }
}

/// Returns what an entry with this digest should learn; `None` if one of the two processes does not
/// follow evacuations.
pub(crate) fn report_to(
    shared: &Shared,
    entry: Option<EvacuationsDigest>,
) -> Option<EvacuationsReport> {
    shared.settings().evacuation_bound_ms?;
    entry.map(|entry| shared.evacuations.report_to(entry))
}

/// Takes a set if it is newer than the one known, and opens or closes the host accordingly.
fn merge(shared: &Rc<Shared>, evacuations: Evacuations, source: &str) {
    let revision = evacuations.revision();
    if !evacuations.is_valid() {
        log::warn!(target: "sidecar", event = "bad_evacuations", source = source,
            revision = revision; "set of evacuations exceeds the limits and is ignored");
        return;
    }
    let change = shared.evacuations.known.borrow_mut().merge(evacuations);
    let Some(change) = change else {
        return;
    };
    let failure_domain = shared.settings().failure_domain.clone();
    let is_evacuated = shared.evacuations.known.borrow().contains(&failure_domain);
    log::warn!(target: "sidecar", event = "evacuations", source = source, revision = revision,
        begun = names_in_one_text(&change.begun), ended = names_in_one_text(&change.ended),
        is_evacuated = is_evacuated;
        "evacuated failure domains changed; the host takes tasks only if its own is not among them");
    // Wakes the entries that wait for an update, also if the host's own state stays.
    shared.update(|host, now_ms, actions| host.set_evacuated(now_ms, is_evacuated, actions));
}
