//! Follows the evacuated failure domains, in the store and at agents, and passes them on to agents.
//!
//! An agent that the store refuses learns them from any entry, and an entry from any agent.

use std::cell::RefCell;
use std::rc::Rc;

use adapter::{EVACUATIONS_PREFIX, evacuated_failure_domain};
use model::{
    Evacuations, EvacuationsDigest, EvacuationsReport, KnownEvacuations, names_in_one_text,
};
use platform::StoreError;
use protocol::{HostLink, LinkError};
use runtime::{Backoff, monotonic_us, pause_after_failure};
use scheduling::HostSlot;
use slotmap::SecondaryMap;
use web::Notify;

use crate::process::{STORE_TIMEOUT_MS, Shared};

/// Longest time that a watch waits for a change, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 2_000;

/// Longest pause before the keys are listed again after a failed call or a change that may have been
/// missed, in milliseconds. It does not grow, since it must stay a fraction of the bound, which is a
/// few seconds.
const RELIST_PAUSE_MS: u64 = 250;

/// Time limit of the call that passes a set on to an agent, in milliseconds.
const SHARE_TIMEOUT_MS: u64 = 300;

/// What an entry knows of evacuations.
#[derive(Default)]
pub(crate) struct EvacuationState {
    known: RefCell<KnownEvacuations>,
    /// What each connected agent that follows evacuations knows.
    agents: RefCell<SecondaryMap<HostSlot, EvacuationsDigest>>,
    /// Wakes the loops that pass sets on to agents.
    changed: Notify,
}

impl EvacuationState {
    /// Returns the newest set.
    pub(crate) fn newest(&self) -> Option<Evacuations> {
        self.known.borrow().get().cloned()
    }

    /// Forgets what an agent knows, whose connection has ended.
    pub(crate) fn agent_disconnected(&self, slot: HostSlot) {
        self.agents.borrow_mut().remove(slot);
    }

    fn update_for_agent(&self, slot: HostSlot) -> Option<Evacuations> {
        let digest = *self.agents.borrow().get(slot)?;
        self.known.borrow().update_for(digest).cloned()
    }
}

/// Follows the keys in the store; returns at once if the settings give no bound.
pub(crate) async fn follow(shared: Rc<Shared>) {
    let Some(bound_ms) = shared.settings().evacuation_bound_ms else {
        return;
    };
    let mut is_store_lost = false;
    let mut backoff = Backoff::builder(RELIST_PAUSE_MS, RELIST_PAUSE_MS)
        .seed(shared.key.0)
        .build();
    loop {
        let followed = shared.store.follow_keys(
            EVACUATIONS_PREFIX,
            watch_wait_ms(bound_ms),
            |call, is_ok| shared.metrics.record_store_call(call, is_ok),
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
            log::warn!(target: "gateway", event = "evacuations_unavailable",
                reason = error.to_string();
                "evacuations cannot be read from the store; the last ones stay in force");
        }
        pause_after_failure(&mut backoff).await;
    }
}

/// Returns how long a watch waits: with the timeout of the call it ends within half of the bound, so
/// that a silent connection is noticed in time.
fn watch_wait_ms(bound_ms: u64) -> u64 {
    (bound_ms / 2)
        .saturating_sub(STORE_TIMEOUT_MS)
        .min(MAX_WATCH_WAIT_MS)
}

/// Takes a set if it is newer than the one known, and applies it.
pub(crate) fn merge(shared: &Shared, evacuations: Evacuations, source: &str) {
    let revision = evacuations.revision();
    if !evacuations.is_valid() {
        log::warn!(target: "gateway", event = "bad_evacuations", source = source,
            revision = revision; "set of evacuations exceeds the limits and is ignored");
        return;
    }
    let change = shared.evacuations.known.borrow_mut().merge(evacuations);
    let Some(change) = change else {
        return;
    };
    log::warn!(target: "gateway", event = "evacuations", source = source, revision = revision,
        begun = names_in_one_text(&change.begun), ended = names_in_one_text(&change.ended);
        "evacuated failure domains changed; tasks go only to failure domains that are not evacuated");
    let names: Vec<Rc<str>> = shared
        .evacuations
        .newest()
        .iter()
        .flat_map(|newest| newest.failure_domains().cloned())
        .collect();
    let now_ms = shared.advance_clock();
    let mut actions = Vec::new();
    shared
        .scheduler
        .borrow_mut()
        .set_evacuated(now_ms, names, &mut actions);
    shared.perform(actions);
    shared.evacuations.changed.notify_all();
}

/// Returns the digest for an update request; `None` if the entry does not follow evacuations.
pub(crate) fn digest(shared: &Shared) -> Option<EvacuationsDigest> {
    shared.settings().evacuation_bound_ms?;
    Some(shared.evacuations.known.borrow().digest())
}

/// Returns whether a peer with this digest has a newer set than this entry.
pub(crate) fn is_newer(shared: &Shared, peer: EvacuationsDigest) -> bool {
    digest(shared)
        .is_some_and(|own| peer.revision > own.revision && peer.names_hash != own.names_hash)
}

/// Returns the report to an entry with this digest; `None` if either does not follow evacuations.
pub(crate) fn report_to(
    shared: &Shared,
    peer: Option<EvacuationsDigest>,
) -> Option<EvacuationsReport> {
    let newer = shared.evacuations.known.borrow().update_for(peer?).cloned();
    digest(shared).map(|digest| EvacuationsReport { digest, newer })
}

/// Processes what another entry knows.
pub(crate) fn entry_reported(shared: &Shared, address: &str, report: &EvacuationsReport) {
    if shared.settings().evacuation_bound_ms.is_none() {
        return;
    }
    if let Some(newer) = &report.newer {
        merge(shared, newer.clone(), address);
    }
    shared.evacuations.known.borrow_mut().confirm(report.digest);
}

/// Processes what an agent knows.
pub(crate) fn agent_reported(
    shared: &Shared,
    slot: HostSlot,
    address: &str,
    report: &EvacuationsReport,
) {
    if shared.settings().evacuation_bound_ms.is_none() {
        return;
    }
    let state = &shared.evacuations;
    state.agents.borrow_mut().insert(slot, report.digest);
    if let Some(newer) = &report.newer {
        merge(shared, newer.clone(), address);
    }
    state.known.borrow_mut().confirm(report.digest);
    if state.update_for_agent(slot).is_some() {
        state.changed.notify_all();
    }
}

/// Passes each newer set on to an agent; returns when the connection fails.
pub(crate) async fn share(shared: &Shared, slot: HostSlot, link: &HostLink) -> LinkError {
    let state = &shared.evacuations;
    loop {
        let newer = state
            .changed
            .wait_until(|| state.update_for_agent(slot))
            .await;
        let digest = newer.digest();
        let deadline_us = monotonic_us() + SHARE_TIMEOUT_MS * 1_000;
        if let Err(error) = link.share_evacuations(shared.key, newer, deadline_us).await {
            return error;
        }
        if let Some(agent) = state.agents.borrow_mut().get_mut(slot)
            && agent.revision < digest.revision
        {
            *agent = digest;
        }
    }
}
